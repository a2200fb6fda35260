//! Noticing that a caller has hung up while its answer is still being made.
//!
//! The HTTP library reads nothing from a connection while a request on it is open, so a
//! caller that leaves is noticed only when its answer is written. Its tasks would hold
//! room until then, and run beside those of its next try.

use std::any;
use std::io;
use std::os::fd::AsFd as _;
use std::rc;

use actix_web::dev;
use actix_web::rt::net;
use tokio::io::Interest;

/// A second handle to a caller's connection, on which only its closing is watched.
#[derive(Clone, Debug)]
pub struct Hangup(rc::Rc<tokio::net::TcpStream>);

impl Hangup {
    /// Attaches a handle to a new connection.
    pub fn attach(connection: &dyn any::Any, data: &mut dev::Extensions) {
        let Some(stream) = connection.downcast_ref::<net::TcpStream>() else {
            return;
        };
        match duplicate(stream) {
            Ok(stream) => {
                data.insert(Self(rc::Rc::new(stream)));
            }
            Err(e) => log::warn!(event = "connection.unwatched"; "{e}"),
        }
    }

    /// Whether the caller has closed its end, or the connection broke, as of now.
    ///
    /// A connection that breaks while its request is on the way delivers both at once. The
    /// caller, which never saw its request leave, sends it again on a new connection without
    /// a pause: tasks that the first one started would run beside those of the second. Such
    /// a request must not start anything, so this asks the system and doesn't wait for news.
    pub fn is_closed(&self) -> bool {
        let mut next = [0_u8; 1];
        let flags = rustix::net::RecvFlags::PEEK | rustix::net::RecvFlags::DONTWAIT;
        match rustix::net::recv(&*self.0, &mut next, flags) {
            Ok((_, at_hand)) => at_hand == 0,
            Err(e) => e != rustix::io::Errno::WOULDBLOCK && e != rustix::io::Errno::INTR,
        }
    }

    /// Returns once the caller has closed its end, or the connection broke.
    pub async fn closed(&self) {
        loop {
            let Ok(ready) = self.0.ready(Interest::READABLE).await else {
                return;
            };
            if ready.is_read_closed() || ready.is_error() {
                return;
            }
            // What came is the library's to read; only the news of it is taken note of.
            let noted: io::Result<()> = self
                .0
                .try_io(Interest::READABLE, || Err(io::ErrorKind::WouldBlock.into()));
            debug_assert!(noted.is_err(), "nothing is read here");
        }
    }
}

fn duplicate(stream: &net::TcpStream) -> io::Result<tokio::net::TcpStream> {
    let fd = stream.as_fd().try_clone_to_owned()?;
    tokio::net::TcpStream::from_std(std::net::TcpStream::from(fd))
}
