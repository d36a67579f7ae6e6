// Builds the precompiled header that all tests share.
