//! The rules on relations between parts of a configuration, which a schema cannot express.

use crate::error::ConfigurationError;
use crate::model::{Configuration, Route, Service, Tenant};
use std::collections::{HashMap, HashSet};

/// All violations of the rules: of the routes, then the services, then the tenants.
pub(crate) fn violations(configuration: &Configuration) -> Vec<ConfigurationError> {
    let mut violations = Violations(Vec::new());
    violations.check_routes(configuration);
    violations.check_services(&configuration.services);
    violations.check_tenants(&configuration.tenants);
    violations.0
}

/// The violations that were found so far.
struct Violations(Vec<ConfigurationError>);

impl Violations {
    fn add(&mut self, location: impl Into<String>, problem: impl Into<String>) {
        self.0.push(ConfigurationError::invalid(location, problem));
    }

    fn check_routes(&mut self, configuration: &Configuration) {
        let services: HashSet<&str> =
            configuration.services.iter().map(|service| service.name.as_str()).collect();
        let mut first_by_match = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let location = format!("/routes/{index}");
            self.check_prefix(&location, route);
            if route.timeout_ms == 0 {
                let problem = "a time-out of 0 leaves no time for any request";
                self.add(format!("{location}/timeout_ms"), problem);
            }
            self.check_targets(&location, route, &services);
            let matched = (route.hostname.to_ascii_lowercase(), route.path_prefix.as_str());
            if let Some(first) = first_by_match.insert(matched, index) {
                self.add(location, format!("the same host and prefix as /routes/{first}"));
            }
        }
    }

    fn check_prefix(&mut self, location: &str, route: &Route) {
        let prefix = &route.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            self.add(format!("{location}/path_prefix"), "a prefix begins and ends with a slash");
        }
    }

    fn check_targets(&mut self, location: &str, route: &Route, services: &HashSet<&str>) {
        if route.service.is_none() && route.traffic_split.is_empty() {
            self.add(location, "names neither a service nor a split");
        }
        if let Some(service) = &route.service {
            self.check_service_name(format!("{location}/service"), service, services);
        }
        for (index, target) in route.traffic_split.iter().enumerate() {
            let location = format!("{location}/traffic_split/{index}/service");
            self.check_service_name(location, &target.service, services);
        }
        let split = &route.traffic_split;
        if !split.is_empty() && split.iter().all(|target| target.weight == 0) {
            self.add(format!("{location}/traffic_split"), "the weights add up to 0");
        }
    }

    fn check_service_name(&mut self, location: String, service: &str, services: &HashSet<&str>) {
        if !services.contains(service) {
            self.add(location, format!("there is no service {service:?}"));
        }
    }

    fn check_services(&mut self, services: &[Service]) {
        let mut first_by_name = HashMap::new();
        for (index, service) in services.iter().enumerate() {
            if let Some(first) = first_by_name.insert(&service.name, index) {
                self.add(format!("/services/{index}/name"), format!("the same name as /services/{first}"));
            }
        }
    }

    fn check_tenants(&mut self, tenants: &[Tenant]) {
        let mut first_by_name = HashMap::new();
        let mut first_by_key = HashMap::new();
        for (index, tenant) in tenants.iter().enumerate() {
            if let Some(first) = first_by_name.insert(&tenant.name, index) {
                self.add(format!("/tenants/{index}/name"), format!("the same name as /tenants/{first}"));
            }
            for (key_index, key) in tenant.api_keys.iter().enumerate() {
                // A tenant may list a key twice: it identifies the same tenant.
                let first = *first_by_key.entry(key).or_insert(index);
                if first != index {
                    let location = format!("/tenants/{index}/api_keys/{key_index}");
                    self.add(location, format!("the key is also one of /tenants/{first}"));
                }
            }
        }
    }
}
