//! Text tables with aligned columns.

use std::fmt;

/// Number of spaces between two columns.
const COLUMN_SPACING: usize = 2;

/// Holds rows of text and displays them in aligned columns, each as wide as its longest cell.
#[derive(Debug)]
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with a row of headings.
    pub(crate) fn new<const COLUMNS: usize>(heading: [&str; COLUMNS]) -> Self {
        Self { rows: vec![heading.map(str::to_owned).to_vec()] }
    }

    /// Adds a row after the others.
    pub(crate) fn add_row<const COLUMNS: usize>(&mut self, row: [String; COLUMNS]) {
        self.rows.push(row.to_vec());
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}", width = width + COLUMN_SPACING));
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
