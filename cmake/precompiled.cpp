// Owns the precompiled header that hickory_precompile() shares.
