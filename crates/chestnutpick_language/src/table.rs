//! Result tables of queries, formatted as aligned text or JSON.

use std::fmt;

/// Cell of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cell {
    /// Text.
    Text(String),
    /// Number, aligned to the right.
    Number(u64),
    /// Boolean, written as `yes` or `no`.
    Bool(bool),
    /// List of texts.
    List(Vec<String>),
    /// Missing value.
    Empty,
}

impl Cell {
    /// Returns a text cell with the `to_string` form of a value.
    ///
    /// ```
    /// use chestnutpick_language::table;
    /// assert_eq!(table::Cell::text(&"lima"), table::Cell::Text("lima".to_owned()));
    /// ```
    pub fn text<T>(value: &T) -> Self
    where
        T: ToString,
    {
        Self::Text(value.to_string())
    }

    /// Returns whether the cell satisfies a `where` condition with this value.
    ///
    /// ```
    /// use chestnutpick_language::table;
    /// assert!(table::Cell::Number(3).matches("3"));
    /// assert!(!table::Cell::Bool(true).matches("no"));
    /// ```
    pub fn matches(&self, value: &str) -> bool {
        match self {
            Self::List(items) => items.iter().any(|item| text_matches(item, value)),
            Self::Bool(flag) => {
                let words = if *flag { ["yes", "true"] } else { ["no", "false"] };
                words.iter().any(|word| word.eq_ignore_ascii_case(value))
            }
            other => text_matches(&other.to_string(), value),
        }
    }

    fn to_json(&self) -> serde_json::Value {
        match self {
            Self::Text(text) => text.as_str().into(),
            Self::Number(number) => (*number).into(),
            Self::Bool(flag) => (*flag).into(),
            Self::List(items) => items.clone().into(),
            Self::Empty => serde_json::Value::Null,
        }
    }
}

/// Returns whether the text equals the value, or is a digest of which the value is a prefix of at least 6 characters.
fn text_matches(text: &str, value: &str) -> bool {
    const DIGEST_LEN: usize = 64;
    const MIN_PREFIX_LEN: usize = 6;
    let allows_prefix = text.len() == DIGEST_LEN && value.len() >= MIN_PREFIX_LEN;
    text == value || (allows_prefix && text.starts_with(value))
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => f.write_str(text),
            Self::Number(number) => write!(f, "{number}"),
            Self::Bool(flag) => f.write_str(if *flag { "yes" } else { "no" }),
            Self::List(items) if items.is_empty() => f.write_str("-"),
            Self::List(items) => f.write_str(&items.join(",")),
            Self::Empty => f.write_str("-"),
        }
    }
}

/// Table with named columns.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Table {
    /// Column names, from left to right.
    pub columns: Vec<&'static str>,
    /// Rows, with one cell for each column.
    pub rows: Vec<Vec<Cell>>,
}

impl Table {
    /// Returns the rows as a JSON array of objects.
    ///
    /// ```
    /// use chestnutpick_language::table;
    /// let table = table::Table { columns: vec!["n"], rows: vec![vec![table::Cell::Number(1)]] };
    /// assert_eq!(table.to_json(), serde_json::json!([{"n": 1}]));
    /// ```
    pub fn to_json(&self) -> serde_json::Value {
        let object = |row: &Vec<Cell>| {
            let pairs = self.columns.iter().zip(row);
            pairs.map(|(column, cell)| ((*column).to_owned(), cell.to_json())).collect()
        };
        self.rows.iter().map(object).map(serde_json::Value::Object).collect()
    }

    fn widths(&self, rows: &[Vec<String>]) -> Vec<usize> {
        let width = |(index, column): (usize, &&str)| {
            let cells = rows.iter().filter_map(|row| row.get(index));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0).max(column.len())
        };
        self.columns.iter().enumerate().map(width).collect()
    }
}

impl fmt::Display for Table {
    /// Writes a header line and one line for each row. Numeric columns are aligned to the right.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows: Vec<Vec<String>> =
            self.rows.iter().map(|row| row.iter().map(ToString::to_string).collect()).collect();
        let widths = self.widths(&rows);
        let header: Vec<String> = self.columns.iter().map(|c| (*c).to_owned()).collect();
        let numeric: Vec<bool> = (0..widths.len())
            .map(|n| self.rows.iter().any(|row| matches!(row.get(n), Some(Cell::Number(_)))))
            .collect();
        for row in std::iter::once(&header).chain(&rows) {
            writeln!(f, "{}", format_row(row, &widths, &numeric))?;
        }
        Ok(())
    }
}

fn format_row(row: &[String], widths: &[usize], numeric: &[bool]) -> String {
    let cells = row.iter().zip(widths).zip(numeric).map(|((cell, width), numeric)| {
        if *numeric { format!("{cell:>width$}") } else { format!("{cell:<width$}") }
    });
    cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
}
