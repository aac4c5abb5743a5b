//! Locks a mutex and ignores poisoning: every update leaves the guarded data consistent, so a panic of
//! another holder does no harm.

use std::sync::{Mutex, MutexGuard, PoisonError};

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
