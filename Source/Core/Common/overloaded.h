#ifndef SOURCE_CORE_COMMON_OVERLOADED_H_
#define SOURCE_CORE_COMMON_OVERLOADED_H_

namespace daisyroad {

// Combines lambdas, one per alternative, into a visitor for std::visit.
template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace daisyroad

#endif  // SOURCE_CORE_COMMON_OVERLOADED_H_
