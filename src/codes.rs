//! Numbered result codes, used in answers, logs, settings verdicts and exit statuses.
//!
//! The hundreds digit is the class; `docs/RESULT-CODES.md` lists all codes.

use serde::Deserialize;
use serde::Serialize;

/// Class of a result code, which tells whether anything ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// Everything ran and the answer is complete, or it is still pending.
    Complete,
    /// No part of the submission was or will be started.
    NotRun,
    /// The submission ended without a complete answer after part of it ran.
    Failed,
    /// Part of the submission may have run; it will not be started again.
    MayHaveRun,
    /// The request was invalid; nothing was started because of it.
    BadRequest,
    /// A settings change was rejected.
    Settings,
    /// The command-line tool failed.
    Tool,
}

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $text:literal;)+) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $($(#[doc = $doc])+ $name,)+
        }

        impl Code {
            /// All codes, in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Returns the number used in answers, logs and the documentation.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Returns the human-readable text.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }
        }
    };
}

result_codes! {
    /// Every task ran and succeeded.
    Complete = 0, "complete";
    /// The submission was accepted and is not finished yet.
    Pending = 1, "accepted and not finished yet; ask again";

    /// The team's queue is full.
    TeamQueueFull = 100, "the team's queue is full";
    /// The entry's queue is full.
    EntryQueueFull = 101, "the entry's queue is full";
    /// The deadline cannot be met given the work already queued.
    DeadlineUnreachable = 102, "the deadline can't be met with the work already waiting";
    /// No worker is large enough for one of the tasks.
    NeverFits = 103, "no worker is large enough for a task of it";
    /// The process is stopping and takes no new work.
    Leaving = 104, "the process is stopping and takes no new work";
    /// No backend server is in service.
    NoCapacity = 105, "no backend server is in service";
    /// The claim on the client's own submission id could not be made.
    ClaimUnavailable = 106, "the submission id could not be claimed; use a ticket";
    /// The submission was cancelled before anything started.
    CancelledNotRun = 107, "cancelled before anything started";
    /// The deadline passed before anything started.
    DeadlineNotRun = 108, "the deadline passed before anything started";
    /// The job exceeds the team's quota and could never run.
    OverQuota = 109, "the job is larger than the team's quota allows";
    /// The availability zone is out of service.
    ZoneOut = 110, "the availability zone is out of service";
    /// The process lacks recent evidence that its settings are current, so it starts nothing.
    NotFresh = 111, "the process lost touch with the settings and starts nothing";
    /// The dispatch is too old to be checked against the record of started tasks.
    StaleDispatch = 112, "the dispatch is too old to be accepted";
    /// The runner's wait queue is full.
    RunnerFull = 113, "the runner is full";
    /// The attempt was fenced before it started and will never start.
    Fenced = 114, "it was promised that this would never start";
    /// The dispatch waited longer for a slot than it allowed.
    WaitedTooLong = 115, "no slot came free in the time allowed";
    /// The runner could not reach its backend server.
    BackendUnreachable = 116, "the backend server could not be reached";
    /// The submission had already failed, so its remaining tasks were not started.
    NotNeeded = 117, "the submission had failed already";

    /// A task ran and failed.
    TaskFailed = 200, "a task ran and failed";
    /// A task ran longer than its limit and was stopped.
    TaskTimedOut = 201, "a task ran over its limit and was stopped";
    /// The submission was cancelled after part of it had started.
    Cancelled = 202, "cancelled after some of it had started";
    /// The deadline passed after part of the submission had started.
    DeadlinePassed = 203, "the deadline passed after some of it had started";
    /// Some tasks ran and others could not be started.
    PartlyNotRun = 204, "some tasks ran and others could not be started";
    /// The worker stopped a task because its lease was not renewed.
    LeaseLapsed = 205, "a task was stopped when its lease lapsed";

    /// The submission completed, but its outputs were discarded to save memory.
    OutputsExpired = 206, "every task ran; the outputs are no longer kept";

    /// A runner was lost while it may have been running a task.
    RunnerLost = 300, "a runner was lost while it may have been running a task";
    /// The entry that owned the submission is gone.
    OwnerGone = 301, "the entry that owned the submission is gone";
    /// The entry that owns the submission does not answer.
    OwnerSilent = 302, "the entry that owns the submission does not answer now; ask again";
    /// The answer is no longer kept.
    AnswerExpired = 303, "the answer is no longer kept";
    /// The connection to the backend server broke after the task had started.
    BackendLost = 304, "the backend server broke off after the task had begun";
    /// The task was given up while it may still have been running.
    StillRunning = 305, "given up while a task may still have been running";

    /// The body cannot be parsed.
    BadBody = 400, "the body can't be read";
    /// The bearer token is missing or unknown.
    BadToken = 401, "the bearer token is missing or unknown";
    /// The body is larger than allowed.
    TooLarge = 402, "the body is larger than allowed";
    /// The protocol version is not supported.
    UnknownVersion = 403, "this version is not spoken here";
    /// The submission id is unknown.
    UnknownSubmission = 404, "nothing is known under this submission id";
    /// The ticket is malformed or belongs to another team.
    BadTicket = 405, "the ticket is malformed";
    /// The ticket is older than the retention of submissions.
    TicketExpired = 406, "the ticket has expired";
    /// The body was not received in time.
    TooSlow = 407, "the body came too slowly";
    /// The submission id was used before with different content.
    ContentConflict = 408, "the submission id is taken by other content";
    /// The path or method does not exist.
    NoSuchPage = 409, "no such page";
    /// The query string cannot be parsed.
    BadQuery = 410, "the query string can't be read";

    /// The file is not TOML.
    SettingsSyntax = 500, "the file is not valid TOML";
    /// A key is unknown.
    SettingsUnknownKey = 501, "a key is unknown";
    /// A value has the wrong type.
    SettingsWrongType = 502, "a value has the wrong type";
    /// A value is out of range or conflicts with another one.
    SettingsImpossible = 503, "a value is impossible";
    /// The change was based on an older revision.
    SettingsConflict = 504, "another change came first";
    /// A change with the same id was already applied.
    SettingsRepeated = 505, "the change had been made already";
    /// The record is malformed or of an unsupported version.
    SettingsBadRecord = 506, "the record can't be read";
    /// The file name is invalid.
    SettingsBadName = 507, "the file name is not acceptable";
    /// The file to remove does not exist.
    SettingsNoFile = 508, "there is no such file";
    /// The folder or the file is too large.
    SettingsTooLarge = 509, "the file or the folder is too large";

    /// The command line is invalid.
    Usage = 600, "the command line is wrong";
    /// No process could be reached.
    Unreachable = 601, "no process could be reached";
    /// The operation timed out.
    TimedOut = 602, "it took too long";
    /// A file could not be read or written.
    Io = 603, "a file could not be read or written";
    /// The log service does not answer.
    LogUnavailable = 604, "the log service does not answer";
    /// The peer sent an unexpected answer.
    BadAnswer = 605, "the other side answered something unexpected";
    /// The folder differs from the settings in force.
    Differs = 606, "the folder differs from what is in force";
}

impl Code {
    /// Returns the class, given by the hundreds digit.
    pub const fn class(self) -> Class {
        match self.number() {
            0..=99 => Class::Complete,
            100..=199 => Class::NotRun,
            200..=299 => Class::Failed,
            300..=399 => Class::MayHaveRun,
            400..=499 => Class::BadRequest,
            500..=599 => Class::Settings,
            _ => Class::Tool,
        }
    }

    /// Returns the exit status of the command-line tool for this code.
    pub const fn exit_status(self) -> i32 {
        match self.class() {
            Class::Complete => 0,
            Class::Failed => 1,
            Class::NotRun => 3,
            Class::MayHaveRun => 4,
            Class::BadRequest => 5,
            Class::Settings => 6,
            Class::Tool => match self {
                Self::Differs => 1,
                Self::Usage => 2,
                _ => 7,
            },
        }
    }

    /// Returns the HTTP status of an answer with this code.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::Pending => 202,
            Self::NeverFits | Self::OverQuota => 422,
            Self::BadToken => 401,
            Self::TooLarge => 413,
            Self::UnknownSubmission | Self::NoSuchPage => 404,
            Self::TicketExpired => 410,
            Self::TooSlow => 408,
            Self::ContentConflict => 409,
            Self::TeamQueueFull => 429,
            _ => match self.class() {
                Class::NotRun | Class::MayHaveRun => 503,
                Class::BadRequest | Class::Settings => 400,
                _ => 200,
            },
        }
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

quick_error! {
    /// Error of converting a number to a [`Code`].
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CodeError {
        /// The number is not a result code.
        Unknown(number: u16) {
            display("no result code has the number {number}")
        }
    }
}

impl TryFrom<u16> for Code {
    type Error = CodeError;

    fn try_from(number: u16) -> Result<Self, CodeError> {
        let found = Self::ALL.iter().find(|code| code.number() == number);
        found.copied().ok_or(CodeError::Unknown(number))
    }
}

impl std::fmt::Display for Code {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ({})", self.number(), self.text())
    }
}
