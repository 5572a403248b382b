"""Messages between instances, their codecs, the operators' language and HTTP/1.1."""
