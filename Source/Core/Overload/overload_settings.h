#ifndef SOURCE_CORE_OVERLOAD_OVERLOAD_SETTINGS_H_
#define SOURCE_CORE_OVERLOAD_OVERLOAD_SETTINGS_H_

namespace daisyroad {

// What a pool does while it has too little room. Comes from the settings.
struct OverloadSettings {
  // Jobs that cost callers least are delayed. If false, the order among jobs
  // that can meet their objective does not depend on the load.
  bool delay = false;
  // Up to this multiple of its objective, a late job is still of use.
  double useful_for = 3.0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_OVERLOAD_OVERLOAD_SETTINGS_H_
