//! The routing table: matches requests with the routes, tenants and services of a configuration.

use crate::model::{Configuration, Route, Service, Tenant};
use std::collections::HashMap;
use std::sync::Arc;

/// The result of matching a request with the routes.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The route with the longest matching prefix.
    pub route: Arc<Route>,
}

/// A configuration with indexes for matching requests. Built once for each configuration.
#[derive(Debug)]
pub struct RouteTable {
    /// The generation of the configuration.
    pub generation: u64,
    /// The configuration that the table was built from.
    pub configuration: Arc<Configuration>,
    /// Routes by host in lower case, those with the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Tenants by API key.
    tenants: HashMap<String, Arc<Tenant>>,
    services: HashMap<String, Arc<Service>>,
}

impl RouteTable {
    /// Builds the table of a configuration that has passed [`crate::check`].
    pub fn new(configuration: Configuration) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let host = route.hostname.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut tenants = HashMap::new();
        for tenant in &configuration.tenants {
            let shared = Arc::new(tenant.clone());
            for key in &tenant.api_keys {
                tenants.insert(key.clone(), shared.clone());
            }
        }
        let named = |service: &Service| (service.name.clone(), Arc::new(service.clone()));
        let services = configuration.services.iter().map(named).collect();
        let generation = configuration.generation;
        RouteTable { generation, configuration: Arc::new(configuration), hosts, tenants, services }
    }

    /// Finds the route of a request: of its host's routes, the one with the longest prefix that its path
    /// begins with. `path` must not include the query. `None` if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteMatch> {
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        let route = routes.iter().find(|route| path.starts_with(&route.path_prefix))?;
        Some(RouteMatch { route: route.clone() })
    }

    /// Returns the tenant with this API key; `None` if no tenant has it.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.tenants.get(key)
    }

    /// Returns the service with this name; `None` if the configuration has none.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Whether requests need API keys, except on public routes.
    pub fn requires_keys(&self) -> bool {
        !self.configuration.tenants.is_empty()
    }
}
