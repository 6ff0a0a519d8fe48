//! Sub-commands of the simulation. Each returns whether its checks passed.

mod cost;
mod day;
mod faults;
mod grid;
mod parallel;
mod settle;
mod table;

pub(crate) use cost::{run_cost, CostArgs};
pub(crate) use day::{run_day, DayArgs};
pub(crate) use faults::{run_faults, FaultsArgs};
pub(crate) use grid::{run_grid, GridArgs};
pub(crate) use settle::{run_settle, SettleArgs};
