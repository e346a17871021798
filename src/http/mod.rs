//! Rules for headers and bodies, and refusals as HTTP answers.
