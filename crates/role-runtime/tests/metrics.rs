//! The metrics endpoint of a role.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use role_runtime::metrics::{MetricsEndpoint, MetricsEndpointError, MetricsSource, listen};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

/// A source with one counter, which counts how often it is refreshed.
struct RefreshCounter {
    registry: Registry,
    counter: Counter,
}

impl MetricsSource for RefreshCounter {
    fn refresh(&self) {
        self.counter.inc();
    }

    fn registry(&self) -> &Registry {
        &self.registry
    }
}

#[tokio::test]
async fn metrics_are_refreshed_for_each_request() {
    let mut registry = Registry::default();
    let counter = Counter::default();
    registry.register("refreshes", "Number of refreshes", counter.clone());
    let reserved = control_link::listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let std::net::SocketAddr::V4(address) = reserved.local_addr().expect("its address") else { panic!("v6") };
    drop(reserved);
    listen(address, "/metrics", Arc::new(RefreshCounter { registry, counter })).expect("listens");
    for refreshes in 1..=2 {
        let response = reqwest::get(format!("http://{address}/metrics")).await.expect("a response");
        let content_type = response.headers()["content-type"].to_str().expect("text").to_owned();
        assert!(content_type.starts_with("application/openmetrics-text"), "{content_type}");
        let text = response.text().await.expect("a text");
        let sample = format!("refreshes_total {refreshes}");
        assert!(text.contains(&sample) && text.ends_with("# EOF\n"), "{text}");
    }
    let other_path = reqwest::get(format!("http://{address}/other")).await.expect("a response");
    assert_eq!(other_path.status(), 404);
}

#[test]
fn a_metrics_endpoint_is_parsed_as_a_port_and_a_path() {
    assert!("9464/metrics".parse::<MetricsEndpoint>().is_ok());
    assert!("1/a/b-c_d.txt".parse::<MetricsEndpoint>().is_ok());
    let error = |text: &str| text.parse::<MetricsEndpoint>().expect_err("an error");
    assert_eq!(error("9464"), MetricsEndpointError::MissingPath("9464".into()));
    assert_eq!(error("0/metrics"), MetricsEndpointError::InvalidPort("0/metrics".into()));
    assert_eq!(error("70000/metrics"), MetricsEndpointError::InvalidPort("70000/metrics".into()));
    assert_eq!(error("9464/"), MetricsEndpointError::InvalidPath("9464/".into()));
    assert_eq!(error("9464/a b"), MetricsEndpointError::InvalidPath("9464/a b".into()));
}
