#pragma once

// Counts the allocations and locks of the calling thread by replacing operator
// new and interposing the POSIX lock functions. This header defines these
// functions, so exactly one source file of a program may include it.

#include <cstdint>
#include <cstdlib>
#include <new>

#include <dlfcn.h>
#include <pthread.h>

namespace auburnroute::bench {

struct PacketPathCounters {
  std::uint64_t Allocations = 0;
  std::uint64_t AllocatedBytes = 0;
  std::uint64_t Locks = 0; ///< Mutexes and reader-writer locks, shared or not.
};

inline thread_local PacketPathCounters Counters;

/// Returns the next definition of \p name in the symbol search order, after the
/// one of this program.
template <typename Function> Function nextFunction(const char *name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

inline void *countedAllocation(std::size_t size) {
  ++Counters.Allocations;
  Counters.AllocatedBytes += size;
  void *memory = std::malloc(size == 0 ? 1 : size);
  if (memory == nullptr)
    throw std::bad_alloc();
  return memory;
}

} // namespace auburnroute::bench

// The aligned overloads keep the standard library's definitions, which call
// aligned_alloc: the packet path doesn't use them.
void *operator new(std::size_t size) {
  return auburnroute::bench::countedAllocation(size);
}
void *operator new[](std::size_t size) {
  return auburnroute::bench::countedAllocation(size);
}
void operator delete(void *memory) noexcept { std::free(memory); }
void operator delete[](void *memory) noexcept { std::free(memory); }
void operator delete(void *memory, std::size_t) noexcept { std::free(memory); }
void operator delete[](void *memory, std::size_t) noexcept {
  std::free(memory);
}

extern "C" {
int pthread_mutex_lock(pthread_mutex_t *mutex) noexcept {
  static const auto next =
      auburnroute::bench::nextFunction<int (*)(pthread_mutex_t *)>(
          "pthread_mutex_lock");
  ++auburnroute::bench::Counters.Locks;
  return next(mutex);
}
int pthread_rwlock_rdlock(pthread_rwlock_t *lock) noexcept {
  static const auto next =
      auburnroute::bench::nextFunction<int (*)(pthread_rwlock_t *)>(
          "pthread_rwlock_rdlock");
  ++auburnroute::bench::Counters.Locks;
  return next(lock);
}
int pthread_rwlock_wrlock(pthread_rwlock_t *lock) noexcept {
  static const auto next =
      auburnroute::bench::nextFunction<int (*)(pthread_rwlock_t *)>(
          "pthread_rwlock_wrlock");
  ++auburnroute::bench::Counters.Locks;
  return next(lock);
}
}
