//! Commands of the command line.

mod apply;
mod burn;
mod change;
mod cli;
mod run;
mod show;

pub(crate) use cli::build_cli;
pub(crate) use run::run;
