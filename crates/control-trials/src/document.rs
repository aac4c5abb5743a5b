//! The configurations of a trial, and what each of them allows. Two successive versions differ in a route that
//! is added, in the service of another route, and in an API key, and drop an older route and key.

use serde_json::{Value, json};

/// The host of all routes.
pub const HOST: &str = "trial.example";
/// The services of a trial.
pub const SERVICES: [&str; 3] = ["service-a", "service-b", "service-c"];
/// The API key that every version has.
pub const LASTING_KEY: &str = "key-lasting";
/// How many of the routes that were added last a version keeps.
const KEPT_ROUTES: usize = 10;
/// How many of the keys that were added last a version keeps.
const KEPT_KEYS: usize = 4;

/// The generation of a configuration.
pub type Generation = u64;

/// A request that shows which version is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestRequest {
    /// On the route that every version has, and that never moves.
    Lasting,
    /// On the route that moves to another service with each version.
    Moving,
    /// On the route that this generation has added.
    Added(Generation),
    /// On the lasting route, with the key that this generation has added.
    Key(Generation),
    /// On the route that only an invalid document of this number has.
    Invalid(u64),
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handling {
    /// A backend of this service has run it.
    RunBy(&'static str),
    /// The frontend has refused it with 401, 403 or 404.
    Refused(u16),
    /// Anything that shows no version: another status, or no answer.
    Unknown,
}

impl TestRequest {
    /// The path that the request is sent to.
    pub fn path(self) -> String {
        match self {
            TestRequest::Lasting | TestRequest::Key(_) => "/lasting/x".into(),
            TestRequest::Moving => "/moving/x".into(),
            TestRequest::Added(generation) => format!("/added-{generation}/x"),
            TestRequest::Invalid(number) => format!("/invalid-{number}/x"),
        }
    }

    /// The API key that the request is sent with.
    pub fn key(self) -> String {
        match self {
            TestRequest::Key(generation) => key_of(generation),
            _ => LASTING_KEY.into(),
        }
    }
}

fn key_of(generation: Generation) -> String {
    format!("key-{generation}")
}

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The number of the version; higher is newer.
    pub generation: Generation,
    /// The service of the moving route.
    pub moving_to: &'static str,
    /// The generations whose routes the version has, the newest last.
    pub routes: Vec<Generation>,
    /// The generations whose keys the version has, the newest last.
    pub keys: Vec<Generation>,
}

impl Version {
    /// The first version.
    pub fn first(generation: Generation) -> Self {
        Version { generation, moving_to: SERVICES[0], routes: Vec::new(), keys: Vec::new() }
    }

    /// A version upon this one: it adds a route and a key, and moves the moving route.
    pub fn next(&self, generation: Generation, moving_to: &'static str) -> Self {
        let added = |kept: &[Generation], limit: usize| {
            let mut kept = kept.to_vec();
            kept.push(generation);
            kept.drain(..kept.len().saturating_sub(limit));
            kept
        };
        Version {
            generation,
            moving_to,
            routes: added(&self.routes, KEPT_ROUTES),
            keys: added(&self.keys, KEPT_KEYS),
        }
    }

    /// What a frontend does with a request while this version is in force there.
    pub fn handling(&self, request: TestRequest) -> Handling {
        match request {
            TestRequest::Lasting => Handling::RunBy(SERVICES[0]),
            TestRequest::Moving => Handling::RunBy(self.moving_to),
            TestRequest::Added(generation) if self.routes.contains(&generation) => {
                Handling::RunBy(SERVICES[0])
            }
            TestRequest::Key(generation) if self.keys.contains(&generation) => Handling::RunBy(SERVICES[0]),
            TestRequest::Key(_) => Handling::Refused(401),
            TestRequest::Added(_) | TestRequest::Invalid(_) => Handling::Refused(404),
        }
    }

    /// The text of the version's document.
    pub fn text(&self) -> String {
        self.document().to_string()
    }

    /// The document of the version.
    pub fn document(&self) -> Value {
        let mut routes = vec![route("lasting", SERVICES[0]), route("moving", self.moving_to)];
        routes
            .extend(self.routes.iter().map(|generation| route(&format!("added-{generation}"), SERVICES[0])));
        let mut keys = vec![LASTING_KEY.to_string()];
        keys.extend(self.keys.iter().map(|generation| key_of(*generation)));
        let services: Vec<Value> = SERVICES.iter().map(|name| service(name)).collect();
        json!({"generation": self.generation, "routes": routes, "services": services,
            "tenants": [{"name": "tenant", "api_keys": keys, "priority": 1}],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 1_048_576, "header_timeout_ms": 3000,
                "idle_timeout_ms": 15_000}})
    }
}

fn route(name: &str, service: &str) -> Value {
    json!({"name": name, "hostname": HOST, "path_prefix": format!("/{name}/"), "route_type": "safe",
        "timeout_ms": 2000, "target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": 2,
        "public": false})
}

fn service(name: &str) -> Value {
    json!({"name": name, "health_check_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false})
}

/// Why a document is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// It ends in the middle.
    CutShort,
    /// A route names a service that the document doesn't have.
    UnknownService,
    /// Two routes have the same host and prefix.
    SamePlace,
    /// The weights of a route add up to 0.
    NoWeight,
    /// The time-out of a route is 0.
    NoTimeout,
    /// The generation is that of the version that it builds upon.
    SameGeneration,
    /// Two tenants share a key.
    SharedKey,
    /// A member of a route stands twice.
    RepeatedMember,
}

impl Flaw {
    /// All flaws.
    pub const ALL: [Flaw; 8] = [
        Flaw::CutShort,
        Flaw::UnknownService,
        Flaw::SamePlace,
        Flaw::NoWeight,
        Flaw::NoTimeout,
        Flaw::SameGeneration,
        Flaw::SharedKey,
        Flaw::RepeatedMember,
    ];

    /// An invalid document upon `base`, with a route of its own by which it is recognized in force.
    pub fn document(self, base: &Version, number: u64) -> Vec<u8> {
        let mut document = base.next(base.generation + 1, base.moving_to).document();
        let own = route(&format!("invalid-{number}"), SERVICES[0]);
        let mut flawed = route(&format!("flawed-{number}"), SERVICES[0]);
        match self {
            Flaw::UnknownService => flawed["service"] = json!("service-unknown"),
            Flaw::SamePlace => flawed["path_prefix"] = json!("/lasting/"),
            Flaw::NoTimeout => flawed["timeout_ms"] = json!(0),
            Flaw::NoWeight => {
                flawed["service"] = Value::Null;
                flawed["traffic_split"] = json!([{"service": SERVICES[0], "weight": 0}]);
            }
            Flaw::SameGeneration => document["generation"] = json!(base.generation),
            Flaw::SharedKey => {
                push(&mut document["tenants"], json!({"name": "other", "api_keys": [LASTING_KEY]}))
            }
            Flaw::CutShort | Flaw::RepeatedMember => {}
        }
        push(&mut document["routes"], own);
        push(&mut document["routes"], flawed);
        let text = document.to_string();
        match self {
            Flaw::CutShort => text.as_bytes()[..text.len() * 2 / 3].to_vec(),
            Flaw::RepeatedMember => {
                text.replacen("\"max_attempts\":2", "\"max_attempts\":2,\"max_attempts\":2", 1).into_bytes()
            }
            _ => text.into_bytes(),
        }
    }
}

fn push(list: &mut Value, entry: Value) {
    if let Value::Array(entries) = list {
        entries.push(entry);
    }
}
