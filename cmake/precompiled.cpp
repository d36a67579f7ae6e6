// Builds the precompiled header that hickory_precompile() shares.
