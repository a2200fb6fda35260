//! Limit on the number of sites that run at the same time.
//!
//! A site has about ten processes. With one site for each processor, the processes wait for
//! processor time, and a test may take a process that is waiting for a dead one.

use std::cell;
use std::sync;

/// Maximum number of sites that run at the same time.
const MAX_SITES: usize = 6;

static RUNNING: sync::Mutex<usize> = sync::Mutex::new(0);
static SITE_ENDED: sync::Condvar = sync::Condvar::new();

thread_local! {
    static SITES_OF_THREAD: cell::Cell<usize> = const { cell::Cell::new(0) };
}

/// Permit to run a site; released on drop.
#[derive(Debug)]
pub struct Permit {
    is_first: bool,
}

/// Waits for a permit.
///
/// A test with two sites waits for the first one only. If it waited for both, six such tests
/// that hold one permit each would deadlock.
pub fn acquire() -> Permit {
    let is_first = SITES_OF_THREAD.get() == 0;
    SITES_OF_THREAD.set(SITES_OF_THREAD.get() + 1);
    if is_first {
        let guard = SITE_ENDED.wait_while(lock(), |running| *running >= MAX_SITES);
        *guard.unwrap_or_else(sync::PoisonError::into_inner) += 1;
    }
    Permit { is_first }
}

impl Drop for Permit {
    fn drop(&mut self) {
        SITES_OF_THREAD.set(SITES_OF_THREAD.get().saturating_sub(1));
        if self.is_first {
            *lock() -= 1;
            SITE_ENDED.notify_one();
        }
    }
}

fn lock() -> sync::MutexGuard<'static, usize> {
    RUNNING.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
