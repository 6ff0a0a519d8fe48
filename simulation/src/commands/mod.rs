//! The sub-commands. Each returns whether what it shows is as it should be.

mod cost;
mod day;
mod faults;
mod grid;
mod parallel;
mod settle;
mod table;

pub use cost::{run_cost, CostArgs};
pub use day::{run_day, DayArgs};
pub use faults::{run_faults, FaultsArgs};
pub use grid::{run_grid, GridArgs};
pub use settle::{run_settle, SettleArgs};
