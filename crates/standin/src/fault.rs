//! Faults that are injected into a stand-in on request.

use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

/// Fault that applies to all requests from the time it is set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Requests fail with status 500 before they run.
    Error,
    /// Requests are refused with the verdict that they have not run.
    Refuse,
    /// Requests are accepted but never get a response.
    Hang,
    /// Responses are cut off after this number of words; a plain service runs the call and then
    /// closes the connection without a response.
    Cut(usize),
    /// Responses carry the id of another attempt.
    Crossed,
    /// Exports of context never get a response.
    ExportHang,
    /// Exports of context are cut off in the middle.
    ExportCut,
    /// Exports of context carry the id of another move.
    ExportCrossed,
    /// Processing takes this many times as long.
    Slow(u32),
    /// Each response pauses once for this many milliseconds after its third word.
    Pause(u32),
    /// Streams start from the beginning, whatever the requested offset is.
    Restart,
    /// Responses have neither a length nor chunks, and end with their connection.
    Unframed,
    /// Responses are unframed, and the connection is closed properly after this number of bytes of
    /// the body.
    UnframedCut(usize),
    /// Responses name this rate of requests, in thousandths of a request per second, which the
    /// engine takes from all instances together.
    Limit(u32),
    /// The engine ends as it begins an answer, if one of the messages before the last one is among
    /// this share of all messages, in thousandths. It returns after two seconds. A plain service
    /// does so at the end of a call whose path and body are among this share of all.
    Crash(u32),
    /// As `Crash`, for the last message.
    CrashLast(u32),
}

impl Fault {
    /// Returns whether an engine with this fault ends when it begins an answer to a request with the
    /// message `text`, in the place that the fault is about.
    pub fn is_crash(self, text: &str) -> bool {
        match self {
            Self::Crash(permille) | Self::CrashLast(permille) => {
                xxh3_64(text.as_bytes()) % 1000 < u64::from(permille)
            }
            _ => false,
        }
    }

    /// Returns whether responses have neither a length nor chunks.
    pub fn is_unframed(self) -> bool {
        matches!(self, Self::Unframed | Self::UnframedCut(_))
    }

    /// Returns the ratio of processing times with and without the fault, at least 1.
    pub fn slowdown_factor(self) -> u32 {
        match self {
            Self::Slow(factor) => factor,
            _ => 1,
        }
    }
}

/// Error from parsing the name of a fault.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "fault \"{0}\" is not none, error, refuse, hang, cut:WORDS, crossed, export-hang, export-cut, \
         export-crossed, slow:FACTOR, pause:MILLIS, restart, unframed, unframed-cut:BYTES, \
         limit:THOUSANDTHS, crash:PERMILLE or crash-last:PERMILLE"
)]
pub struct UnknownFault(String);

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, UnknownFault> {
        let unknown = || UnknownFault(text.to_string());
        let (name, number) = match text.split_once(':') {
            Some((name, number)) => (name, number.parse::<u32>().map_err(|_| unknown())?),
            None => (text, 0),
        };
        match name {
            "none" => Ok(Self::None),
            "error" => Ok(Self::Error),
            "refuse" => Ok(Self::Refuse),
            "hang" => Ok(Self::Hang),
            "cut" => Ok(Self::Cut(number as usize)),
            "crossed" => Ok(Self::Crossed),
            "export-hang" => Ok(Self::ExportHang),
            "export-cut" => Ok(Self::ExportCut),
            "export-crossed" => Ok(Self::ExportCrossed),
            "slow" => Ok(Self::Slow(number.max(1))),
            "restart" => Ok(Self::Restart),
            "unframed" => Ok(Self::Unframed),
            "unframed-cut" => Ok(Self::UnframedCut(number as usize)),
            "limit" => Ok(Self::Limit(number)),
            "crash" => Ok(Self::Crash(number)),
            "crash-last" => Ok(Self::CrashLast(number)),
            "pause" => Ok(Self::Pause(number)),
            _ => Err(unknown()),
        }
    }
}
