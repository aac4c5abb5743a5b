//! Unit tests of the private items of the parent module.

use super::*;

#[test]
fn the_metrics_are_one_line_of_json_with_the_counts_of_each_class() {
    let metrics = NodeMetrics::default();
    let look = metrics.class("look");
    increment(&look.ok);
    increment(&metrics.class("look").shed);
    increment(&metrics.attempts);
    let finished = metrics.begin_request();
    let _in_flight = metrics.begin_request();
    drop(finished);
    assert_eq!(
        metrics.json(),
        r#"{"responses":{"look":{"ok":1,"shed":1,"errors":0}},"tries":1,"active":1,"pool_size":0,"pool_ejected":0,"config_applied":0,"config_rejected":0}"#
    );
}
