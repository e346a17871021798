//! Settings from flags and environment variables, checked as a whole.
