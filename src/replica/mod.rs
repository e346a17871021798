//! The replicated log of the control processes.
