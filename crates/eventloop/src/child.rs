//! Propagation of a child actor's stop cause to its parent.

use stakker::{Cx, StopCause};

/// Stops the actor of `cx` after its child stopped with `cause`. The actor fails with the error of
/// the child if the child failed; otherwise it stops without an error.
pub fn end_like_child<A>(cx: &mut Cx<'_, A>, cause: StopCause)
where
    A: 'static,
{
    match cause {
        StopCause::Failed(error) => cx.fail_string(error.to_string()),
        _ => cx.stop(),
    }
}
