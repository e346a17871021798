//! Routes, choice of targets, health, floor and retries.
