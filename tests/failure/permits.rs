//! How many sites of processes run at once.
//!
//! Each site has some ten processes. With one for every processor the processes wait
//! for each other, and what a test takes for a dead peer may be one without a turn.

use std::cell;
use std::sync;

/// Sites at once.
const MOST: usize = 6;

static RUNNING: sync::Mutex<usize> = sync::Mutex::new(0);
static ENDED: sync::Condvar = sync::Condvar::new();

thread_local! {
    static HELD: cell::Cell<usize> = const { cell::Cell::new(0) };
}

/// Leave to run a site; given back when dropped.
#[derive(Debug)]
pub struct Turn {
    is_first: bool,
}

/// Waits for a turn. A test with two sites waits for its first only: six of them that
/// held one each and waited for another would wait for ever.
pub fn take() -> Turn {
    let is_first = HELD.get() == 0;
    HELD.set(HELD.get() + 1);
    if is_first {
        let waited = ENDED.wait_while(lock(), |running| *running >= MOST);
        *waited.unwrap_or_else(sync::PoisonError::into_inner) += 1;
    }
    Turn { is_first }
}

impl Drop for Turn {
    fn drop(&mut self) {
        HELD.set(HELD.get().saturating_sub(1));
        if self.is_first {
            *lock() -= 1;
            ENDED.notify_one();
        }
    }
}

fn lock() -> sync::MutexGuard<'static, usize> {
    RUNNING.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
