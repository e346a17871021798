//! Rates and bursts of client accounts over the whole fleet.
