//! The routing table: finds the route that a request matches. The most specific route wins: first by host
//! (exact, then the longest wildcard, then any), then by path, segment by segment from the left (a literal
//! before a capture before the remainder of a prefix), then by headers (a required value scores 2, a required
//! presence 1). Two routes that match some request equally well are an error of the file, so the result does
//! not depend on the order of routes in the file.

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use quick_error::quick_error;
use std::collections::{HashMap, HashSet};
use std::fmt;

/// The maximum number of segments of a route's path, and so of its captures. Limits the recursion of the
/// search.
pub const MAX_SEGMENTS: usize = 32;

/// A segment of a route's path.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Segment {
    /// Exactly this text.
    Literal(String),
    /// Any single non-empty segment, captured under this name.
    Capture(String),
}

/// A route's path, parsed into segments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern {
    /// The segments from the left. A path that ends in a slash ends in an empty literal.
    pub segments: Vec<Segment>,
    /// Whether all paths below it match as well.
    pub is_prefix: bool,
}

quick_error! {
    /// Why a path is not a valid pattern.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum PatternError {
        /// More segments than [`MAX_SEGMENTS`].
        TooDeep {
            display("it has more than {} segments", MAX_SEGMENTS)
        }
        /// A brace outside of a capture. A capture is a whole segment, `{name}`.
        InvalidBraces {
            display("a capture must be a whole segment, such as `/{{station}}/`")
        }
        /// Two captures with the same name.
        DuplicateCapture {
            display("two of its captures have the same name")
        }
    }
}

impl Pattern {
    /// A pattern that matches exactly this normalized path.
    pub fn exact(path: &str) -> Result<Self, PatternError> {
        let segments: Vec<_> = segments(path).map(|s| Segment::Literal(s.into())).collect();
        Pattern { segments, is_prefix: false }.validated()
    }

    /// A pattern that matches a path and all paths below it. A trailing slash of `path` is ignored.
    pub fn prefix(path: &str) -> Result<Self, PatternError> {
        let path = path.strip_suffix('/').unwrap_or(path);
        let segments: Vec<_> = segments(path).map(|s| Segment::Literal(s.into())).collect();
        Pattern { segments, is_prefix: true }.validated()
    }

    /// A pattern with captures in braces.
    pub fn template(path: &str) -> Result<Self, PatternError> {
        let read = |s: &str| match s.strip_prefix('{').and_then(|s| s.strip_suffix('}')) {
            Some(name) if is_capture_name(name) => Ok(Segment::Capture(name.into())),
            None if !s.contains(['{', '}']) => Ok(Segment::Literal(s.into())),
            _ => Err(PatternError::InvalidBraces),
        };
        let segments: Vec<_> = segments(path).map(read).collect::<Result<_, _>>()?;
        Pattern { segments, is_prefix: false }.validated()
    }

    fn validated(self) -> Result<Self, PatternError> {
        if self.segments.len() > MAX_SEGMENTS {
            return Err(PatternError::TooDeep);
        }
        let names: Vec<_> = self.captures().collect();
        match names.iter().enumerate().any(|(i, name)| names[..i].contains(name)) {
            true => Err(PatternError::DuplicateCapture),
            false => Ok(self),
        }
    }

    /// The names of the captures, from the left.
    pub fn captures(&self) -> impl Iterator<Item = &str> {
        self.segments.iter().filter_map(|segment| match segment {
            Segment::Capture(name) => Some(name.as_str()),
            Segment::Literal(_) => None,
        })
    }
}

/// Whether a name consists of ASCII letters, digits, `_` and `-`, as that of a capture must.
pub fn is_capture_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_' || b == b'-')
}

/// The segments of a normalized path: `/a/b` has two, `/a/` has two of which the last is empty, and `/` has
/// one.
pub fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split('/').skip(1)
}

/// The hosts that a route matches.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum HostRule {
    /// All hosts, and requests without one.
    #[default]
    Any,
    /// All hosts with this suffix, which begins with a dot.
    Suffix(String),
    /// Exactly this host, normalized.
    Exact(String),
}

/// A header that must be present, and its required value; `None` for any value.
pub type HeaderRule = (HeaderName, Option<HeaderValue>);

/// The conditions that a request must meet to match a route.
#[derive(Clone, Debug)]
pub struct Condition {
    /// The hosts that match.
    pub host: HostRule,
    /// The paths that match.
    pub pattern: Pattern,
    /// The request's method must be one of these.
    pub methods: Vec<Method>,
    /// The request must have all of these headers.
    pub headers: Vec<HeaderRule>,
}

impl Condition {
    /// How specific the headers are; a route with a higher score wins.
    fn score(&self) -> usize {
        self.headers.iter().map(|(_, value)| if value.is_some() { 2 } else { 1 }).sum()
    }

    fn matches(&self, method: &Method, headers: &HeaderMap) -> bool {
        // A header that occurs more than once does not have the required value.
        let is_met = |(name, value): &HeaderRule| match value {
            Some(value) => headers.get_all(name).iter().eq([value]),
            None => headers.contains_key(name),
        };
        self.methods.contains(method) && self.headers.iter().all(is_met)
    }
}

/// The byte ranges of a route's captures within the matched path, from the left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Captures {
    spans: [(u32, u32); MAX_SEGMENTS],
    count: usize,
}

impl Captures {
    /// The text of a capture, by its index; `path` must be the path that was matched.
    pub fn get<'p>(&self, path: &'p str, number: usize) -> Option<&'p str> {
        let (start, end) = *self.spans[..self.count].get(number)?;
        path.get(start as usize..end as usize)
    }
    fn push(&mut self, start: usize, end: usize) {
        // The maximum length of a request head keeps positions far below `u32::MAX`.
        self.spans[self.count] = (start as u32, end as u32);
        self.count += 1;
    }
    fn pop(&mut self) {
        self.count -= 1;
    }
}

/// The result of a search for a route.
// It lives on the stack for one call; boxing the captures would cost an allocation for each request.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteMatch {
    /// The request matches a route.
    Route {
        /// The index of the route in the list that the table was built from.
        number: usize,
        /// The captures of the request's path.
        captures: Captures,
    },
    /// Routes for this path require another method; these are the methods, sorted.
    MethodNotAllowed(Vec<Method>),
    /// No route matches, and no route for this path requires another method.
    NotFound,
}

#[derive(Default)]
struct TreeNode {
    literals: HashMap<Box<str>, u32>,
    capture: Option<u32>,
    /// Routes whose path ends at this node, the most specific first; `prefixes` also match all paths below.
    exact: Vec<u32>,
    prefixes: Vec<u32>,
}

/// The routes with the same host rule, as a tree of path segments.
struct Tree {
    nodes: Vec<TreeNode>,
}

impl Default for Tree {
    fn default() -> Self {
        Tree { nodes: vec![TreeNode::default()] }
    }
}

impl Tree {
    fn insert(&mut self, number: u32, pattern: &Pattern) {
        let mut at = 0;
        for segment in &pattern.segments {
            let new_node = self.nodes.len() as u32;
            let node = &mut self.nodes[at];
            let next = match segment {
                Segment::Literal(text) => *node.literals.entry(text.as_str().into()).or_insert(new_node),
                Segment::Capture(_) => *node.capture.get_or_insert(new_node),
            };
            if next == new_node {
                self.nodes.push(TreeNode::default());
            }
            at = next as usize;
        }
        let node = &mut self.nodes[at];
        if pattern.is_prefix { node.prefixes.push(number) } else { node.exact.push(number) }
    }
}

/// The state of one search for a route.
struct Search<'s> {
    conditions: &'s [Condition],
    path: &'s str,
    method: &'s Method,
    headers: &'s HeaderMap,
    captures: Captures,
    /// The methods of routes that match the path but not the request's method.
    other_methods: Vec<Method>,
}

impl Search<'_> {
    fn first_match(&mut self, routes: &[u32]) -> Option<usize> {
        for number in routes {
            let condition = &self.conditions[*number as usize];
            if condition.matches(self.method, self.headers) {
                return Some(*number as usize);
            }
            if !condition.methods.contains(self.method) {
                self.other_methods.extend(condition.methods.iter().cloned());
            }
        }
        None
    }

    /// Searches the subtree of a node; `start` is the position of the next segment, `None` after the last
    /// one.
    fn search_below(&mut self, tree: &Tree, at: u32, start: Option<usize>) -> Option<usize> {
        let node = &tree.nodes[at as usize];
        let Some(start) = start else {
            return self.first_match(&node.exact).or_else(|| self.first_match(&node.prefixes));
        };
        let path = self.path;
        let end = path[start..].find('/').map_or(path.len(), |length| start + length);
        let next = (end < path.len()).then_some(end + 1);
        if let Some(child) = node.literals.get(&path[start..end])
            && let Some(found) = self.search_below(tree, *child, next)
        {
            return Some(found);
        }
        if let Some(child) = node.capture.filter(|_| end > start) {
            self.captures.push(start, end);
            if let Some(found) = self.search_below(tree, child, next) {
                return Some(found);
            }
            self.captures.pop();
        }
        self.first_match(&node.prefixes)
    }
}

/// Finds the route of a request among all routes of a file.
#[derive(Default)]
pub struct RouteTable {
    conditions: Vec<Condition>,
    exact: HashMap<String, Tree>,
    suffixes: HashMap<String, Tree>,
    any: Tree,
}

impl fmt::Debug for RouteTable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "a table of {} routes", self.conditions.len())
    }
}

impl RouteTable {
    /// Builds the table. Routes are identified by their index in the list.
    pub fn new(conditions: Vec<Condition>) -> Self {
        let mut table = RouteTable::default();
        let mut order: Vec<_> = conditions.iter().enumerate().collect();
        order.sort_by_key(|(_, condition)| std::cmp::Reverse(condition.score()));
        for (number, condition) in order {
            let tree = match &condition.host {
                HostRule::Any => &mut table.any,
                HostRule::Suffix(suffix) => table.suffixes.entry(suffix.clone()).or_default(),
                HostRule::Exact(host) => table.exact.entry(host.clone()).or_default(),
            };
            tree.insert(number as u32, &condition.pattern);
        }
        table.conditions = conditions;
        table
    }

    /// Finds the route for a normalized host, a normalized path, a method and headers. A path that does not
    /// begin with a slash has no route.
    pub fn find(&self, host: Option<&str>, path: &str, method: &Method, headers: &HeaderMap) -> RouteMatch {
        if !path.starts_with('/') {
            return RouteMatch::NotFound;
        }
        let captures = Captures::default();
        let mut search = Search {
            conditions: &self.conditions,
            path,
            method,
            headers,
            captures,
            other_methods: Vec::new(),
        };
        let exact = host.and_then(|host| self.exact.get(host));
        // From the longest suffix to the shortest.
        let dots = host.unwrap_or_default();
        let dots = dots.match_indices('.').map(|(at, _)| &dots[at..]);
        let suffixes = dots.filter_map(|suffix| self.suffixes.get(suffix));
        for tree in exact.into_iter().chain(suffixes).chain([&self.any]) {
            search.captures.count = 0;
            if let Some(number) = search.search_below(tree, 0, Some(1)) {
                return RouteMatch::Route { number, captures: search.captures };
            }
        }
        if search.other_methods.is_empty() {
            return RouteMatch::NotFound;
        }
        search.other_methods.sort_by(|a, b| a.as_str().cmp(b.as_str()));
        search.other_methods.dedup();
        RouteMatch::MethodNotAllowed(search.other_methods)
    }
}

/// The pairs of routes that match some request equally well: they have the same host and path shape, a method
/// in common, and headers of the same score that don't contradict each other. Each route is the second of at
/// most one pair.
pub fn ambiguous_routes(conditions: &[Condition]) -> Vec<(usize, usize)> {
    let mut groups: HashMap<_, Vec<usize>> = HashMap::new();
    for (number, condition) in conditions.iter().enumerate() {
        let shape = condition.pattern.segments.iter().map(|s| match s {
            Segment::Literal(text) => Some(text.as_str()),
            Segment::Capture(_) => None,
        });
        let shape: Vec<_> = shape.collect();
        let key = (&condition.host, shape, condition.pattern.is_prefix, condition.score());
        groups.entry(key).or_default().push(number);
    }
    let mut pairs = Vec::new();
    for group in groups.into_values().filter(|group| group.len() > 1) {
        let mut ambiguous = HashSet::new();
        // Routes with identical headers are found by a lookup, as there may be thousands of them.
        let mut identical: HashMap<(Vec<&HeaderRule>, &Method), usize> = HashMap::new();
        for number in &group {
            let condition = &conditions[*number];
            for method in &condition.methods {
                let first = *identical.entry((sorted_headers(condition), method)).or_insert(*number);
                if first != *number && ambiguous.insert(*number) {
                    pairs.push((first, *number));
                }
            }
        }
        // If all routes require values for the same headers, any two that remain differ in a value and can't
        // overlap.
        let is_distinct = |n: &usize| {
            has_all_values(&conditions[*n])
                && header_names(&conditions[*n]).eq(header_names(&conditions[group[0]]))
        };
        if group.iter().all(is_distinct) {
            continue;
        }
        for (i, a) in group.iter().enumerate() {
            for b in &group[i + 1..] {
                if !ambiguous.contains(b) && can_both_match(&conditions[*a], &conditions[*b]) {
                    ambiguous.insert(*b);
                    pairs.push((*a, *b));
                }
            }
        }
    }
    pairs.sort();
    pairs
}

fn sorted_headers(condition: &Condition) -> Vec<&HeaderRule> {
    let mut rules: Vec<_> = condition.headers.iter().collect();
    rules.sort_by(|a, b| a.0.as_str().cmp(b.0.as_str()));
    rules
}

fn header_names(condition: &Condition) -> impl Iterator<Item = &HeaderName> {
    sorted_headers(condition).into_iter().map(|(name, _)| name)
}

/// Whether some request meets the method and header conditions of both routes.
fn can_both_match(x: &Condition, y: &Condition) -> bool {
    let contradict = |(name, value): &HeaderRule, (other_name, other_value): &HeaderRule| {
        name == other_name && value.is_some() && other_value.is_some() && value != other_value
    };
    x.methods.iter().any(|method| y.methods.contains(method))
        && !x.headers.iter().any(|a| y.headers.iter().any(|b| contradict(a, b)))
}

/// Whether the condition requires a value for each of its headers.
fn has_all_values(condition: &Condition) -> bool {
    condition.headers.iter().all(|(_, value)| value.is_some())
}
