//! Measures finding a route among 10, 1,000 and 100,000, and loading a file of 10,000 routes. Run with `cargo
//! bench -p route-config`.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use http::{HeaderMap, Method};
use route_config::route::{Condition, HostRule, Pattern, RouteMatch, RouteTable};
use route_config::target::EncodedSlash;
use std::fmt::Write;
use std::hint::black_box;

/// A table of typical routes: three literal segments, and a capture after them in every other route.
fn table(routes: usize) -> RouteTable {
    let condition = |n: usize| {
        let (area, district, sort) = (n / 1000, n / 10 % 100, n % 10);
        let path = format!("/area{area}/district{district}/sort{sort}");
        let pattern = match n % 2 {
            0 => Pattern::exact(&path),
            _ => Pattern::template(&format!("{path}/{{station}}")),
        };
        Condition {
            host: HostRule::Any,
            pattern: pattern.expect("a pattern"),
            methods: vec![Method::POST],
            headers: Vec::new(),
        }
    };
    RouteTable::new((0..routes).map(condition).collect())
}

fn matching(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("match");
    let headers = HeaderMap::new();
    for routes in [10, 1_000, 100_000] {
        let table = table(routes);
        let paths: Vec<_> = (0..997)
            .map(|i| {
                let n = i * 7919 % routes;
                let station = if n % 2 == 0 { "" } else { "/7f3a9c21e0b4d655" };
                format!("/area{}/district{}/sort{}{station}", n / 1000, n / 10 % 100, n % 10)
            })
            .collect();
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(routes), |bencher| {
            bencher.iter(|| {
                next = (next + 1) % paths.len();
                let path =
                    route_config::target::normalize_path(&paths[next], EncodedSlash::Reject).expect("a path");
                let found = table.find(Some("tally.example"), &path, &Method::POST, &headers);
                assert!(matches!(black_box(found), RouteMatch::Route { .. }));
            });
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("match by the path's length");
    for segments in [2, 8, 32] {
        let path = "/segment".repeat(segments);
        let pattern = Pattern::exact(&path).expect("a path");
        let condition =
            Condition { host: HostRule::Any, pattern, methods: vec![Method::POST], headers: Vec::new() };
        let table = RouteTable::new(vec![condition]);
        group.bench_function(BenchmarkId::from_parameter(segments), |bencher| {
            bencher.iter(|| black_box(table.find(None, black_box(&path), &Method::POST, &headers)));
        });
    }
    group.finish();
}

fn loading(criterion: &mut Criterion) {
    let mut text = String::from(
        "[[listener]]\naddress = \"127.0.0.1:8080\"\n[[cluster]]\nname = \"tally\"\n[[cluster.box]]\n\
         name = \"b1\"\naddress = \"127.0.0.1:9001\"\n[[class]]\nname = \"c\"\nrepeat = \"unsafe\"\n",
    );
    for n in 0..10_000 {
        let (area, sort) = (n / 100, n % 100);
        let _ = write!(
            text,
            "[[route]]\ntemplate = \"/area{area}/sort{sort}/{{station}}\"\nclass = \"c\"\ncluster = \"tally\"\n"
        );
    }
    criterion.bench_function("load and check 10,000 routes", |bencher| {
        bencher.iter(|| route_config::load(black_box(text.as_bytes())).expect("a good file"));
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20);
    targets = matching, loading
}
criterion_main!(benches);
