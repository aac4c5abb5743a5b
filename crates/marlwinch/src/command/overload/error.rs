//! Why a surge can't be simulated.

use quick_error::quick_error;

quick_error! {
    /// Why a surge can't be simulated.
    #[derive(Debug)]
    pub enum SurgeError {
        /// The command line has `--overload` but no `--rate`.
        MissingRate {
            display("--overload needs --rate, such as --rate 2000/s")
        }
        /// The simulation would take too long. Holds the highest rate, in requests per second.
        RateTooHigh(highest: f64) {
            display("--rate: too high, at most {highest:.0}/s can be simulated")
        }
        /// An option names a class that no route has. Holds the option, the class and the known classes.
        UnknownClass(option: &'static str, class: String, known: String) {
            display("{option}: no route has the class `{class}`; known classes: {known}")
        }
        /// A part of the mix names a tenant that the file does not define.
        UnknownTenant(tenant: String) {
            display("--mix: the file defines no tenant `{tenant}`")
        }
    }
}
