namespace auburnroute {}
