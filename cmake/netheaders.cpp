// Builds the precompiled header that hickory_precompile_net() shares.
