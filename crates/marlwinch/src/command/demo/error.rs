//! Why the demonstration could not run.

use load_generator::plan::PlanError;
use quick_error::quick_error;
use standalone_proxy::platform_node::config::ContentError;
use standalone_proxy::platform_node::run::RunError;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use test_servers::script::ScriptError;

quick_error! {
    /// Why the demonstration could not run.
    #[derive(Debug)]
    pub enum DemoError {
        /// The built-in script of the backends is invalid.
        Script(error: ScriptError) {
            from()
            display("{error}")
            source(error)
        }
        /// The built-in load plan is invalid.
        Plan(error: PlanError) {
            from()
            display("{error}")
            source(error)
        }
        /// The system can't start the thread of a component.
        Thread(error: io::Error) {
            display("cannot start a thread: {error}")
            source(error)
        }
        /// A thread did not report within the time limit that it had started. Holds its name and the limit.
        StartTimeout(thread: &'static str, limit: Duration) {
            display("thread `{thread}` did not start within {limit:?}")
        }
        /// The async runtime of a component's thread can't be created.
        Runtime(error: io::Error) {
            display("cannot create a tokio runtime: {error}")
            source(error)
        }
        /// The handler of a signal can't be installed. Holds the signal's name.
        SignalHandler(signal: &'static str, error: io::Error) {
            display("cannot install the handler of {signal}: {error}")
            source(error)
        }
        /// The backends or discovery can't be started.
        Backends(error: io::Error) {
            display("cannot start the backends or discovery: {error}")
            source(error)
        }
        /// The node rejects the configuration that the demonstration composes for it.
        NodeConfiguration(error: ContentError) {
            from()
            display("{error}")
            source(error)
        }
        /// The node could not start, or failed later.
        Node(error: RunError) {
            from()
            display("{error}")
            source(error)
        }
        /// The load generator can't create its threads, or one of them has panicked.
        Load(error: io::Error) {
            display("cannot send the load: {error}")
            source(error)
        }
        /// The page of the report can't be written. Holds its path.
        WritePage(path: PathBuf, error: io::Error) {
            display("cannot write {}: {error}", path.display())
            source(error)
        }
    }
}
