//! The slots and the fair queue of one target.
