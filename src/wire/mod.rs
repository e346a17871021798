//! Frames, messages and authenticated links between own processes.

pub mod replica;
