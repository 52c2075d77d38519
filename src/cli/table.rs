//! Tables in text output.

/// Returns a text table with aligned columns.
pub(super) fn render(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<_> = headings.iter().map(|heading| width(heading)).collect();
    for row in rows {
        for (column, cell) in widths.iter_mut().zip(row) {
            *column = (*column).max(width(cell));
        }
    }
    let headings = headings.iter().map(|heading| (*heading).to_owned());
    let mut text = line(&headings.collect::<Vec<_>>(), &widths);
    for row in rows {
        text.push_str(&line(row, &widths));
    }
    text
}

fn width(cell: &str) -> usize {
    cell.chars().count()
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let cells = cells.iter().zip(widths);
    let cells: Vec<_> = cells
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    format!("{}\n", cells.join("  ").trim_end())
}
