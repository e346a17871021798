//! Frames, messages and authenticated links between own processes.
