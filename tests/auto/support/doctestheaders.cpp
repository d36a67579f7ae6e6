// Owns the precompiled header that all tests share.
