//! The results of a simulation: what clients received, and at what cost.

/// The results of a class of requests. The value of a request is that of its class times its relative size.
#[derive(Clone, Debug, Default)]
pub struct ClassStatistics {
    /// The number of requests, without client retries.
    pub requests: u32,
    /// Served requests within the latency target and without too long a gap.
    pub in_time: u32,
    /// Served requests whose first event came after the latency target.
    pub late: u32,
    /// Served requests with too long a gap between two events.
    pub stalled: u32,
    /// Requests that were rejected and not retried any more.
    pub rejected: u32,
    /// Requests that failed in another way.
    pub failed: u32,
    /// The total value of all requests if they had been served in time.
    pub offered_value: f64,
    /// The total value of the served requests.
    pub earned_value: f64,
    /// Requests among the tenth with the largest prompts.
    pub largest: u32,
    /// Those of them that were served.
    pub largest_served: u32,
    /// The times to the first event of served requests, in ms.
    pub first_event_ms: Vec<f64>,
}

impl ClassStatistics {
    /// A quantile, from 0 to 1, of the times to the first event, in ms; 0 without any.
    pub fn first_event_quantile(&self, quantile: f64) -> f64 {
        let mut sorted = self.first_event_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (quantile * sorted.len() as f64) as usize;
        sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
    }
}

/// The results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Statistics {
    /// The results by class, in the order of the site.
    pub classes: Vec<ClassStatistics>,
    /// The number of tokens of shared blocks in the prompts of admitted requests.
    pub shared_tokens: f64,
    /// The number of those tokens that were prefilled although a backend had prefilled the block within the
    /// reread window.
    pub reread_tokens: f64,
    /// The number of all prefilled prompt tokens.
    pub prefilled_tokens: f64,
    /// The number of load reports that nodes requested.
    pub load_reports: u32,
    /// The number of rejections by nodes.
    pub rejections: u32,
    /// The number of rejections while less than half of all slots were taken and no engine had waiting
    /// requests.
    pub needless_rejections: u32,
}

impl Statistics {
    /// The earned value as a share of the offered value.
    pub fn earned_share(&self) -> f64 {
        let sum = |value: fn(&ClassStatistics) -> f64| self.classes.iter().map(value).sum::<f64>();
        sum(|class| class.earned_value) / sum(|class| class.offered_value).max(1e-9)
    }

    /// The reread tokens as a share of the shared tokens.
    pub fn reread_share(&self) -> f64 {
        self.reread_tokens / self.shared_tokens.max(1.0)
    }
}
