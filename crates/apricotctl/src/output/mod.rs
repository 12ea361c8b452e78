//! Output formats, and resources as text.

mod format;
mod record;
mod table;

pub(crate) use format::OutputFormat;
pub(crate) use format::print_json;
pub(crate) use record::describe_record;
pub(crate) use record::record_table;
pub(crate) use record::spec_summary;
pub(crate) use table::TextTable;
