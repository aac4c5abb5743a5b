//! Compares the routing table with a reference matcher that checks each route in turn, without a tree.

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use route_config::route::{
    Captures, Condition, HeaderRule, HostRule, Pattern, RouteMatch, RouteTable, Segment, ambiguous_routes,
    segments,
};
use route_config::target::EncodedSlash;
use std::cmp::Ordering;

/// How specific a route is for a request that it matches; compared field by field.
#[derive(PartialEq, Eq, PartialOrd, Ord, Debug, Clone)]
struct Specificity {
    host: usize,
    path: Vec<u8>,
    headers: usize,
}

/// How specific a route is for a request, by the documented order: exact host, longest wildcard, any host;
/// then segment by segment a literal, a capture, the remainder of a prefix; then 2 for each header value and
/// 1 for each presence. `None` if the route does not match.
fn specificity(
    c: &Condition,
    host: Option<&str>,
    path: &str,
    method: &Method,
    headers: &HeaderMap,
) -> Option<Specificity> {
    let host = match (&c.host, host) {
        (HostRule::Any, _) => 0,
        (HostRule::Exact(name), Some(host)) if name == host => usize::MAX,
        (HostRule::Suffix(end), Some(host)) if host.ends_with(end.as_str()) => end.len(),
        _ => return None,
    };
    let parts: Vec<_> = segments(path).collect();
    let mut rank = Vec::new();
    for (i, segment) in c.pattern.segments.iter().enumerate() {
        match (segment, parts.get(i)) {
            (Segment::Literal(text), Some(part)) if text == part => rank.push(3),
            (Segment::Capture(_), Some(part)) if !part.is_empty() => rank.push(2),
            _ => return None,
        }
    }
    match (parts.len() > c.pattern.segments.len(), c.pattern.is_prefix) {
        (true, false) => return None,
        (_, true) => rank.push(0),
        (false, false) => rank.push(1),
    }
    if !c.methods.contains(method) {
        return None;
    }
    let mut score = 0;
    for (name, value) in &c.headers {
        let all: Vec<_> = headers.get_all(name).iter().collect();
        match value {
            Some(value) if all == [value] => score += 2,
            None if !all.is_empty() => score += 1,
            _ => return None,
        }
    }
    Some(Specificity { host, path: rank, headers: score })
}

/// The most specific route of all that match, and whether another one is equally specific.
fn reference_match(
    conditions: &[Condition],
    host: Option<&str>,
    path: &str,
    method: &Method,
    headers: &HeaderMap,
) -> (Option<usize>, bool) {
    let mut best: Option<(usize, Specificity)> = None;
    let mut tie = false;
    for (number, condition) in conditions.iter().enumerate() {
        let Some(specificity) = specificity(condition, host, path, method, headers) else { continue };
        match best.as_ref().map_or(Ordering::Greater, |(_, best)| specificity.cmp(best)) {
            Ordering::Greater => (best, tie) = (Some((number, specificity)), false),
            Ordering::Equal => tie = true,
            Ordering::Less => {}
        }
    }
    (best.map(|(number, _)| number), tie)
}

fn pattern() -> impl Strategy<Value = Pattern> {
    let segment = prop_oneof![
        3 => prop::sample::select(vec!["a", "b", "c", ""]).prop_map(|s| Segment::Literal(s.into())),
        2 => Just(Segment::Capture(String::new())),
    ];
    (prop::collection::vec(segment, 0..4), any::<bool>()).prop_map(|(mut segments, is_prefix)| {
        // Only the last segment of a path may be empty, and none of a prefix.
        let last = segments.len();
        let mut number = 0;
        for (i, segment) in segments.iter_mut().enumerate() {
            match segment {
                Segment::Literal(text) if text.is_empty() && (i + 1 < last || is_prefix) => {
                    *text = "d".into()
                }
                Segment::Capture(name) => {
                    number += 1;
                    *name = format!("x{number}");
                }
                _ => {}
            }
        }
        if segments.is_empty() && !is_prefix {
            segments.push(Segment::Literal(String::new()));
        }
        Pattern { segments, is_prefix }
    })
}

fn headers() -> impl Strategy<Value = Vec<HeaderRule>> {
    let rule = |name: &'static str| {
        prop::option::weighted(
            0.3,
            prop::option::of(prop::sample::select(vec!["1", "2"]))
                .prop_map(move |value| (HeaderName::from_static(name), value.map(HeaderValue::from_static))),
        )
    };
    (rule("x-a"), rule("x-b")).prop_map(|(a, b)| a.into_iter().chain(b).collect())
}

fn condition() -> impl Strategy<Value = Condition> {
    let hosts = vec![
        HostRule::Any,
        HostRule::Any,
        HostRule::Exact("t.example".into()),
        HostRule::Suffix(".example".into()),
        HostRule::Suffix(".t.example".into()),
    ];
    let methods = prop::sample::subsequence(vec![Method::GET, Method::HEAD, Method::POST], 1..=3);
    (prop::sample::select(hosts), pattern(), methods, headers())
        .prop_map(|(host, pattern, methods, headers)| Condition { host, pattern, methods, headers })
}

/// Lists of routes without ambiguous ones, as in valid files.
fn table() -> impl Strategy<Value = Vec<Condition>> {
    prop::collection::vec(condition(), 0..40).prop_map(|mut conditions| {
        let ambiguous: Vec<_> = ambiguous_routes(&conditions).into_iter().map(|(_, second)| second).collect();
        let mut number = 0;
        conditions.retain(|_| {
            number += 1;
            !ambiguous.contains(&(number - 1))
        });
        conditions
    })
}

type ExampleRequest = (Option<&'static str>, String, Method, HeaderMap);

fn example() -> impl Strategy<Value = ExampleRequest> {
    let host = prop::sample::select(vec![
        None,
        Some("t.example"),
        Some("u.example"),
        Some("v.t.example"),
        Some("example"),
    ]);
    let path = prop::collection::vec(prop::sample::select(vec!["a", "b", "c", "d", "e"]), 0..5);
    let method = prop::sample::select(vec![Method::GET, Method::HEAD, Method::POST, Method::PUT]);
    let values = prop::collection::vec(
        (prop::sample::select(vec!["x-a", "x-b"]), prop::sample::select(vec!["1", "2", "3"])),
        0..4,
    );
    (host, path, any::<bool>(), method, values).prop_map(|(host, path, slash, method, values)| {
        let mut text = path.iter().map(|s| format!("/{s}")).collect::<String>();
        if slash || text.is_empty() {
            text.push('/');
        }
        let mut headers = HeaderMap::new();
        for (name, value) in values {
            headers.append(name, HeaderValue::from_static(value));
        }
        (host, text, method, headers)
    })
}

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_201),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(600))]

    #[test]
    fn the_table_finds_the_same_route_as_the_reference_matcher(
        conditions in table(),
        example in prop::collection::vec(example(), 1..60),
    ) {
        let table = RouteTable::new(conditions.clone());
        for (host, path, method, headers) in example {
            let (best, tie) = reference_match(&conditions, host, &path, &method, &headers);
            prop_assert!(!tie, "two routes match {method} {path} equally, but ambiguous_routes() has none");
            match table.find(host, &path, &method, &headers) {
                RouteMatch::Route { number, captures } => {
                    prop_assert_eq!(Some(number), best);
                    let parts: Vec<_> = segments(&path).collect();
                    let expected: Vec<_> = conditions[number].pattern.segments.iter().zip(&parts)
                        .filter(|(segment, _)| matches!(segment, Segment::Capture(_)))
                        .map(|(_, part)| *part)
                        .collect();
                    let have: Vec<_> = (0..expected.len()).filter_map(|i| captures.get(&path, i)).collect();
                    prop_assert_eq!(have, expected);
                    prop_assert_eq!(captures.get(&path, 32), None);
                }
                RouteMatch::MethodNotAllowed(methods) => {
                    prop_assert_eq!(best, None);
                    prop_assert!(!methods.contains(&method));
                    for other in &methods {
                        let matches = |c: &Condition| {
                            let bare = Condition { headers: Vec::new(), ..c.clone() };
                            specificity(&bare, host, &path, other, &HeaderMap::new()).is_some()
                        };
                        prop_assert!(conditions.iter().any(matches), "no route for {path} accepts {other}");
                    }
                }
                RouteMatch::NotFound => prop_assert_eq!(best, None),
            }
        }
    }

    /// For each pair of routes reported as ambiguous there is a request that both match equally well.
    #[test]
    fn ambiguous_routes_match_some_request_equally_well(
        conditions in prop::collection::vec(condition(), 0..30),
    ) {
        for (first, second) in ambiguous_routes(&conditions) {
            let (a, b) = (&conditions[first], &conditions[second]);
            let path: String = a.pattern.segments.iter().map(|segment| match segment {
                Segment::Literal(text) => format!("/{text}"),
                Segment::Capture(_) => "/any".into(),
            }).collect();
            let path = if path.is_empty() { "/".to_string() } else { path };
            let host = match &a.host {
                HostRule::Any => None,
                HostRule::Exact(name) => Some(name.clone()),
                HostRule::Suffix(end) => Some(format!("x{end}")),
            };
            let method = a.methods.iter().find(|method| b.methods.contains(method));
            let mut headers = HeaderMap::new();
            for (name, value) in a.headers.iter().chain(&b.headers) {
                if let Some(value) = value {
                    headers.insert(name, value.clone());
                } else if !headers.contains_key(name) {
                    headers.insert(name, HeaderValue::from_static("1"));
                }
            }
            let method = method.expect("a method in common");
            let specificity_of = |c| specificity(c, host.as_deref(), &path, method, &headers);
            let (of_a, of_b) = (specificity_of(a), specificity_of(b));
            prop_assert!(of_a.is_some() && of_a == of_b, "{a:?} and {b:?} at {path}");
        }
    }

    /// An arbitrary target causes no panic, neither in normalization nor in the search for a route.
    #[test]
    fn no_request_target_causes_a_panic(conditions in table(), raw in "\\PC{0,60}", host in "\\PC{0,20}") {
        let table = RouteTable::new(conditions);
        if let Ok(path) = route_config::target::normalize_path(&raw, EncodedSlash::Keep) {
            let host = route_config::target::normalize_host(&host);
            table.find(host.as_deref(), &path, &Method::GET, &HeaderMap::new());
        }
        table.find(None, &raw, &Method::GET, &HeaderMap::new());
        prop_assert_eq!(Captures::default().get(&raw, 0), None);
    }
}

/// A prefix matches whole segments only, and also its own path.
#[test]
fn a_prefix_matches_whole_segments_only() {
    let prefix = Pattern::prefix("/a/b/").expect("a valid prefix");
    let methods = vec![Method::GET];
    let table =
        RouteTable::new(vec![Condition { host: HostRule::Any, pattern: prefix, methods, headers: vec![] }]);
    let find = |path: &str| table.find(None, path, &Method::GET, &HeaderMap::new());
    for path in ["/a/b", "/a/b/", "/a/b/c/d"] {
        assert!(matches!(find(path), RouteMatch::Route { number: 0, .. }), "{path}");
    }
    for path in ["/", "/a", "/a/bc", "/A/b"] {
        assert_eq!(find(path), RouteMatch::NotFound, "{path}");
    }
}
