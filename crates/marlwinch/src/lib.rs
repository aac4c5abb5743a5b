//! The command line of marlwinch: parses the arguments, starts the role or tool that they name, and prints
//! its result. The packages of the roles serve the requests.
#![forbid(unsafe_code)]

pub mod command;
