//! Unit tests of the private items of the parent module.

use super::*;

#[test]
fn a_load_report_yields_the_configured_values_or_nothing() {
    let columns = [Column::Concurrent, Column::Depth];
    let report = LoadReport { in_flight: Some(7.0), queue: Some(2.5), ..LoadReport::default() };
    // Values that are not configured are ignored.
    assert_eq!(load_report("concurrent=7, depth=2.5,load_share=0.61,new=1", &columns), Some(report));
    for invalid in [
        "",
        "concurrent",
        "concurrent=",
        "concurrent=NaN",
        "concurrent=1,depth=inf",
        "concurrent=-1",
        "concurrent=1e9",
        "load_share=0.5",
        "concurrent=1,,",
    ] {
        assert_eq!(load_report(invalid, &columns), None, "{invalid}");
    }
}
