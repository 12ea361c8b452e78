//! What connections and unfinished requests of clients may occupy, and who gives way when it is
//! spent.
//!
//! Answers the load of clients that nobody controls: many connections that say nothing, and many
//! bodies that stop just short of their end. A limit for each request is not enough, as the sum of
//! all is what fills a machine.

mod intake_limits;
mod intake_table;

pub use intake_limits::IntakeLimits;
pub use intake_table::IntakeId;
pub use intake_table::IntakeRefusal;
pub use intake_table::IntakeTable;
