//! The load report in a backend's response. Reads no socket.

use join_up_to::LoadReport;
use join_up_to::settings::Column;

/// The upper bound of load values. A larger or negative value is invalid, and must not be taken for load or
/// idleness.
const MAX_LOAD: f32 = 1e6;

/// Parses a load report and keeps the values of `columns`. `None` if a value is invalid or none of them is
/// reported.
pub fn load_report(text: &str, columns: &[Column]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value: f32 = value.trim().parse().ok().filter(|value| (0.0..MAX_LOAD).contains(value))?;
        let column = Column::from_name(name.trim());
        if columns.contains(&column) {
            column.set(&mut report, value);
        }
    }
    (report != LoadReport::default()).then_some(report)
}

#[cfg(test)]
mod tests;
