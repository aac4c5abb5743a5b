//! Unit tests of the private items of the parent module.

use super::*;

fn labels(class: &str) -> ExchangeLabels {
    ExchangeLabels { class: class.into(), cluster: "tally".into(), ..ExchangeLabels::default() }
}

#[tokio::test]
async fn each_exchange_is_counted_once_by_how_it_ended() {
    let telemetry = Rc::new(Telemetry::new(0.0, None));
    for (status, complete) in [(200, true), (200, false), (503, true)] {
        let exchange = Exchange::begin(&telemetry, labels("look"), "GET");
        assert!(telemetry.text().contains("marlwinch_in_hand 1"));
        let served_by = ServedBy { backend: "box-1".into(), attempts: 2 };
        exchange.response_started(status, (status == 200).then_some(served_by));
        exchange.completion_flag().set(complete);
    }
    drop(Exchange::begin(&telemetry, labels("look"), "GET"));
    let text = telemetry.text();
    for line in [
        "marlwinch_answers_total{class=\"look\",cluster=\"tally\",code=\"200\"} 2",
        "marlwinch_answers_total{class=\"look\",cluster=\"tally\",code=\"503\"} 1",
        "marlwinch_first_byte_seconds_count{class=\"look\",cluster=\"tally\"} 3",
        "marlwinch_whole_seconds_count{class=\"look\",cluster=\"tally\"} 2",
        "marlwinch_box_first_byte_seconds_count{cluster=\"tally\",name=\"box-1\"} 2",
        "marlwinch_attempts_total{class=\"look\",cluster=\"tally\"} 4",
        "marlwinch_cut_total{class=\"look\",cluster=\"tally\"} 1",
        "marlwinch_in_hand 0",
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
}

#[tokio::test]
async fn the_number_of_distinct_labels_is_limited() {
    let telemetry = Rc::new(Telemetry::new(0.0, None));
    for n in 0..3 * MAX_LABEL_NAMES {
        let exchange = Exchange::begin(&telemetry, labels(&format!("c{n}")), "GET");
        exchange.response_started(200, None);
    }
    let text = telemetry.text();
    let label_sets = text.lines().filter(|line| line.starts_with("marlwinch_answers_total")).count();
    assert!(label_sets <= MAX_LABEL_NAMES + 1, "{label_sets}");
    assert!(text.contains("class=\"other\""));
}

#[test]
fn the_configured_share_of_exchanges_is_logged() {
    for (share, expected) in [(0.0, 0), (0.25, 250), (1.0, 1000)] {
        let telemetry = Telemetry::new(share, None);
        assert_eq!((0..1000).filter(|_| telemetry.is_next_logged()).count(), expected);
    }
}
