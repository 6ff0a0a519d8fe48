//! The program around the balancer: its configuration, its log and its command line.

#![deny(missing_docs)]

mod command_line;
pub mod commands;
pub mod config;
pub mod log;
