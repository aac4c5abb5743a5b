//! The arguments of `explain --overload`.

use quick_error::quick_error;
use std::time::Duration;
use units::DurationError;

/// The surge to simulate. The doc comments of the fields are the help text.
#[derive(clap::Args)]
pub struct OverloadArguments {
    /// Request rate of the surge, such as 2000/s
    #[arg(long, value_name = "RATE", value_parser = parse_rate, requires = "overload")]
    pub rate: Option<f64>,
    /// Mix of the requests by weight, such as `class=3,class@tenant=1`; by default all classes and tenants
    /// are equal
    #[arg(long, value_delimiter = ',', value_name = "CLASS[@TENANT]=WEIGHT", requires = "overload")]
    #[arg(value_parser = parse_mix_part)]
    pub mix: Vec<MixPart>,
    /// Mean service time of a request at a backend, for all classes or as `class=20ms`
    #[arg(long, value_delimiter = ',', default_value = "20ms", value_name = "[CLASS=]TIME")]
    #[arg(value_parser = parse_service_time)]
    pub service: Vec<ServiceTime>,
    /// Requests that a backend of weight 1 executes concurrently
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    pub cores: u32,
    /// What clients do after a rejection
    #[arg(long, value_enum, default_value_t = RejectedClients::RetryWhenAllowed)]
    pub again: RejectedClients,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// What clients do after a rejection. The doc comments of the variants are the help text.
#[derive(Clone, Copy, clap::ValueEnum)]
pub enum RejectedClients {
    /// Give up
    #[value(name = "never")]
    GiveUp,
    /// Retry after the time that the response asks for, at most 3 times
    #[value(name = "as-told")]
    RetryWhenAllowed,
    /// Retry immediately, at most 10 times
    #[value(name = "at-once")]
    RetryAtOnce,
}

/// A part of the offered requests, from an item of `--mix` or as the default mix.
#[derive(Clone, Debug)]
pub struct MixPart {
    /// The name of the class of the requests.
    pub class: String,
    /// The tenant of the requests. If absent, the part is divided evenly among all tenants.
    pub tenant: Option<String>,
    /// The weight of the part, relative to the sum of all weights; above 0.
    pub weight: f64,
}

/// The mean time that a backend needs for a request.
#[derive(Clone, Debug)]
pub struct ServiceTime {
    /// The class of the requests. If absent, the time applies to all classes without a time of their own.
    pub class: Option<String>,
    /// The mean of the exponentially distributed service times, above 0.
    pub time: Duration,
}

quick_error! {
    /// Why an argument of the surge is invalid.
    #[derive(Debug)]
    enum ArgumentError {
        /// The rate is not a positive number.
        Rate {
            display("expected a rate above 0, such as `2000/s`")
        }
        /// A part of the mix has no `=`.
        MixForm {
            display("expected `class=3` or `class@tenant=3`")
        }
        /// The weight of a part is not a positive number.
        MixWeight {
            display("expected a weight above 0, such as `class=3`")
        }
        /// The service time is not a duration.
        ServiceTime(error: DurationError) {
            from()
            display("expected a time above 0, such as `20ms`")
            source(error)
        }
        /// The service time is zero.
        ZeroServiceTime {
            display("expected a time above 0, such as `20ms`")
        }
    }
}

fn is_positive(number: &f64) -> bool {
    number.is_finite() && *number > 0.0
}

fn parse_rate(text: &str) -> Result<f64, ArgumentError> {
    let rate = units::parse_rate(text).or_else(|| text.parse().ok());
    rate.filter(is_positive).ok_or(ArgumentError::Rate)
}

fn parse_mix_part(text: &str) -> Result<MixPart, ArgumentError> {
    let (name, weight) = text.split_once('=').ok_or(ArgumentError::MixForm)?;
    let weight = units::parse_percent(weight).or_else(|| weight.trim().parse().ok());
    let weight = weight.filter(is_positive).ok_or(ArgumentError::MixWeight)?;
    let (class, tenant) =
        name.split_once('@').map_or((name, None), |(class, tenant)| (class, Some(tenant.trim())));
    Ok(MixPart { class: class.trim().into(), tenant: tenant.map(String::from), weight })
}

fn parse_service_time(text: &str) -> Result<ServiceTime, ArgumentError> {
    let (class, time) = text.split_once('=').map_or((None, text), |(class, time)| (Some(class), time));
    let time = units::parse_duration(time.trim())?;
    if time.is_zero() {
        return Err(ArgumentError::ZeroServiceTime);
    }
    Ok(ServiceTime { class: class.map(|class| class.trim().to_string()), time })
}
