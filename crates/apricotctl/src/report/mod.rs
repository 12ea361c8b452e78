//! The burn report as text and as an HTML page.

mod page;
mod plot;
mod text;

pub(crate) use page::burn_page;
pub(crate) use text::burn_text;
