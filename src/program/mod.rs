//! Command line, configuration and log of the executable.

#![deny(missing_docs)]

mod command_line;
pub mod commands;
pub mod config;
pub mod log;
