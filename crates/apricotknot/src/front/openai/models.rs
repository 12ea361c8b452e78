//! List of the models that callers may use.

use serde_json::Value;
use serde_json::json;

use crate::control::ConfigView;

/// Renders the models of `view` in the JSON format of the OpenAI interface.
pub fn render_models(view: &ConfigView) -> Value {
    let models: Vec<Value> = view
        .models()
        .iter()
        .map(|(name, context)| {
            json!({
                "id": name,
                "object": "model",
                "created": 0,
                "owned_by": "apricotknot",
                "context_window": context,
            })
        })
        .collect();
    json!({ "object": "list", "data": models })
}
