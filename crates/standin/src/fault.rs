//! Faults that a stand-in shows on demand.

use std::str::FromStr;

/// What goes wrong with every request from now on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Requests are answered with status 500 before they start.
    Error,
    /// Requests are refused as not run.
    Refuse,
    /// Requests are taken and never answered.
    Hang,
    /// Answers break off after so many words; a service runs the call and says nothing.
    Cut(usize),
    /// Answers carry the id of another attempt.
    Crossed,
    /// Exports of context are never answered.
    ExportHang,
    /// Exports of context break off in the middle.
    ExportCut,
    /// Exports of context carry the id of another move.
    ExportCrossed,
    /// Work takes so many times as long.
    Slow(u32),
}

impl Fault {
    /// How many times as long work takes.
    pub fn slowness(self) -> u32 {
        match self {
            Self::Slow(factor) => factor,
            _ => 1,
        }
    }
}

/// The text is not the name of a fault.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "fault \"{0}\" is not none, error, refuse, hang, cut:WORDS, crossed, export-hang, export-cut, \
         export-crossed or slow:FACTOR"
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
            _ => Err(unknown()),
        }
    }
}
