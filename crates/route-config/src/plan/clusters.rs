//! Compiles clusters: their backends and the settings of their balancers.

use super::gate::gate_settings;
use super::routes::ClusterClass;
use super::{BackendPlan, ClusterPlan};
use crate::model::{Backend, Cluster, File, LoadReports, Located};
use crate::resolve::built_in;
use join_up_to::{
    CapacitySource, Goal, Limits, Prices, ReportSource, Rules, ServerEntry, ServerId, ServerState, Settings,
    Tenant,
};
use std::time::Duration;

/// The time after which a backend closes an idle connection, if the file does not set it; the node closes it
/// after half of that.
const DEFAULT_IDLE_CLOSE: Duration = Duration::from_secs(15);

/// Numbers names in alphabetical order, so that adding or removing a backend changes as few numbers as
/// possible.
struct NameNumbers(Vec<String>);

impl NameNumbers {
    fn of<'n>(names: impl Iterator<Item = &'n Option<Located<String>>>) -> Self {
        let mut names: Vec<_> = names.flatten().map(|name| name.value.clone()).collect();
        names.sort();
        names.dedup();
        NameNumbers(names)
    }
    /// The number of a name; `None` has the number after the last name.
    fn number(&self, name: Option<&Located<String>>) -> u8 {
        let known = name.and_then(|name| self.0.iter().position(|known| *known == name.value));
        u8::try_from(known.unwrap_or(self.0.len())).unwrap_or(u8::MAX)
    }
}

/// Compiles the clusters of a file.
pub(super) struct ClusterCompiler<'f> {
    file: &'f File,
    zones: NameNumbers,
    kinds: NameNumbers,
    defaults: Settings,
}

impl<'f> ClusterCompiler<'f> {
    pub(super) fn new(file: &'f File) -> Self {
        let backends = || file.clusters.iter().flat_map(|cluster| &cluster.backends);
        ClusterCompiler {
            file,
            zones: NameNumbers::of(backends().map(|backend| &backend.zone)),
            kinds: NameNumbers::of(backends().map(|backend| &backend.kind)),
            defaults: Settings::default(),
        }
    }

    /// Compiles a cluster with the classes of its routes.
    pub(super) fn compile(&self, cluster: &Cluster, classes: Vec<ClusterClass>) -> ClusterPlan {
        let gate = gate_settings(self.file, cluster, &classes);
        let classes: Vec<_> = classes.into_iter().map(|class| class.class).collect();
        ClusterPlan {
            name: cluster.name.value.clone(),
            settings: self.balancer_settings(cluster, classes),
            gate,
            backends: cluster.backends.iter().map(|backend| self.backend(backend)).collect(),
            idle_close: cluster.idle_close.as_ref().map_or(DEFAULT_IDLE_CLOSE, |time| time.value),
            new_backends_warm_up: cluster.warm_up.is_some(),
        }
    }

    fn backend(&self, backend: &Backend) -> BackendPlan {
        let entry = ServerEntry {
            id: ServerId::named(&backend.name.value),
            zone: self.zones.number(backend.zone.as_ref()),
            kind: self.kinds.number(backend.kind.as_ref()),
            cell: backend.cell.as_ref().map_or(0, |cell| cell.value),
            state: backend.state.as_ref().map_or(ServerState::Ready, |state| state.value),
            weight: backend.weight.as_ref().map_or(1.0, |weight| weight.value as f32),
            started: None,
        };
        BackendPlan { name: backend.name.value.clone(), entry, address: backend.address.value }
    }

    fn balancer_settings(&self, cluster: &Cluster, classes: Vec<join_up_to::Class>) -> Settings {
        let (file, defaults) = (self.file, &self.defaults);
        let reports =
            match cluster.reports.as_ref().map_or(LoadReports::ResponseHeader, |reports| reports.value) {
                LoadReports::ResponseHeader => ReportSource::Answers,
                LoadReports::None => ReportSource::None,
            };
        let tenants = file.tenants.iter().map(|tenant| Tenant {
            allowance_per_s: tenant.allowance.as_ref().map_or(0.0, |allowance| allowance.value),
            share: tenant.share.as_ref().map_or(0.0, |share| share.value),
        });
        Settings {
            nodes: file.node_count(),
            node: file.node.number.as_ref().map_or(0, |number| number.value),
            zone: self.zones.number(file.node.zone.as_ref()),
            // A cluster without routes gets no requests, but the balancer's settings need at least one class.
            classes: if classes.is_empty() { defaults.classes.clone() } else { classes },
            tenants: tenants.collect(),
            over_share_value: 1.0,
            value_by_cost: false,
            reports,
            limits: Limits {
                // Each class has its own.
                max_attempts: u32::MAX,
                cancel: true,
                probes: false,
                parallel_attempts: true,
                max_retry_after: Some(built_in::RETRY_AFTER),
                connect_timeout: defaults.limits.connect_timeout,
            },
            rules: self.rules(cluster),
            prices: Prices::default(),
            goal: Goal { whole: 1.0, ..Goal::default() },
            list_on_request: false,
            tick: defaults.tick,
            capacity_source: CapacitySource::Provided,
        }
    }

    fn rules(&self, cluster: &Cluster) -> Rules {
        let defaults = self.defaults.rules;
        let no_warm_up = Rules { initial_capacity: 1.0, slow_start: Duration::ZERO, ..defaults };
        cluster.warm_up.as_ref().map_or(no_warm_up, |warm_up| Rules {
            initial_capacity: warm_up.value.initial_capacity,
            slow_start: warm_up.value.duration,
            overload_factor: warm_up.value.overload_factor,
            overload_time: warm_up.value.overload_time,
            ..defaults
        })
    }
}
