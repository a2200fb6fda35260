//! Detects that a caller closed its connection while its request is being processed.
//!
//! The HTTP library does not read from a connection while a request on it is open, so it
//! notices a closed connection only when it writes the response. Until then the caller's
//! tasks would occupy capacity and run alongside those of its retry.

use std::any;
use std::cell;
use std::io;
use std::os::fd::AsFd as _;
use std::rc;
use std::sync;

use actix_web::dev;
use actix_web::rt::net;
use tokio::io::Interest;

use crate::clock;

/// A duplicate handle to a caller's connection, which any thread may ask whether it is closed.
#[derive(Clone, Debug)]
pub struct Connection {
    stream: sync::Arc<tokio::net::TcpStream>,
}

/// Detects the closing of a caller's connection, on the thread that serves it.
#[derive(Clone, Debug)]
pub struct Hangup {
    connection: Connection,
    /// When the connection was accepted, or the last response on it was ready.
    last_used_ms: rc::Rc<cell::Cell<u64>>,
}

impl Connection {
    /// Returns whether the connection is closed by the caller or broken at this moment.
    pub fn is_closed(&self) -> bool {
        let mut peeked = [0_u8; 1];
        let flags = rustix::net::RecvFlags::PEEK | rustix::net::RecvFlags::DONTWAIT;
        match rustix::net::recv(&*self.stream, &mut peeked, flags) {
            Ok((_, received)) => received == 0,
            Err(e) => e != rustix::io::Errno::WOULDBLOCK && e != rustix::io::Errno::INTR,
        }
    }
}

impl Hangup {
    /// Attaches a handle to the data of a new connection.
    pub fn attach(connection: &dyn any::Any, data: &mut dev::Extensions) {
        let Some(stream) = connection.downcast_ref::<net::TcpStream>() else {
            return;
        };
        match duplicate(stream) {
            Ok(stream) => {
                data.insert(Self {
                    connection: Connection {
                        stream: sync::Arc::new(stream),
                    },
                    last_used_ms: rc::Rc::new(cell::Cell::new(clock::boot_ms())),
                });
            }
            Err(e) => log::warn!(event = "connection.unwatched"; "cannot watch for hang-ups: {e}"),
        }
    }

    /// Records that a response is ready; the next request is sent later.
    pub fn record_response(&self) {
        self.last_used_ms.set(clock::boot_ms());
    }

    /// Returns the longest time since the caller may have sent its request, in milliseconds.
    pub fn max_request_age_ms(&self) -> u64 {
        clock::boot_ms().saturating_sub(self.last_used_ms.get())
    }

    /// Returns a handle for other threads.
    pub fn connection(&self) -> Connection {
        self.connection.clone()
    }

    /// Returns whether the connection is closed by the caller or broken at this moment.
    ///
    /// If a connection breaks while a request is in flight, the request and the reset arrive
    /// together. The caller, which considers the request unsent, immediately repeats it on a
    /// new connection, and tasks started for both would run at the same time. Such a request
    /// must not start anything, so this queries the socket instead of waiting for an event.
    pub fn is_closed(&self) -> bool {
        self.connection.is_closed()
    }

    /// Waits until the caller closes the connection or it breaks.
    pub async fn closed(&self) {
        let stream = &self.connection.stream;
        loop {
            let Ok(ready) = stream.ready(Interest::READABLE).await else {
                return;
            };
            if ready.is_read_closed() || ready.is_error() {
                return;
            }
            // The data is left for the HTTP library; this only clears the readiness.
            let cleared: io::Result<()> =
                stream.try_io(Interest::READABLE, || Err(io::ErrorKind::WouldBlock.into()));
            debug_assert!(cleared.is_err(), "the readiness is cleared without reading");
        }
    }
}

/// Waits until the connection closes, or for ever if it is not watched.
pub async fn closed(hangup: Option<&Hangup>) {
    match hangup {
        Some(hangup) => hangup.closed().await,
        None => std::future::pending().await,
    }
}

fn duplicate(stream: &net::TcpStream) -> io::Result<tokio::net::TcpStream> {
    let fd = stream.as_fd().try_clone_to_owned()?;
    tokio::net::TcpStream::from_std(std::net::TcpStream::from(fd))
}
