//! Release notes and the configuration that they build.
